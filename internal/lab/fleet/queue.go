package fleet

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// at does something at a time, in the order asked for where times are the same.
func (d *day) at(at time.Duration, do func()) {
	d.seq++
	heap.Push(&d.queue, event{max(at, d.now), d.seq, do})
}

func (d *day) after(in time.Duration, do func()) { d.at(d.now+in, do) }
