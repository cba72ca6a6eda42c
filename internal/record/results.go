package record

import "github.com/google/btree"

// storedResult is a result in the table, with the length of its digest encoding. It is immutable once inserted.
type storedResult struct {
	*Result
	bytes int
}

// resultTable holds the results by write id. Each entry adds at most one, so the version orders them uniquely.
type resultTable struct {
	byID      *btree.BTreeG[storedResult]
	byVersion *btree.BTreeG[storedResult]
	bytes     int
	sum       digestSum
}

func newResultTable() resultTable {
	return resultTable{
		byID:      btree.NewG(treeDegree, func(a, b storedResult) bool { return a.ID < b.ID }),
		byVersion: btree.NewG(treeDegree, func(a, b storedResult) bool { return a.Version < b.Version }),
	}
}

// snapshot returns a copy for a view.
func (t *resultTable) snapshot() resultTable {
	return resultTable{byID: t.byID.Clone(), byVersion: t.byVersion.Clone(), bytes: t.bytes, sum: t.sum}
}

func (t *resultTable) get(id string) (Result, bool) {
	r, ok := t.byID.Get(storedResult{Result: &Result{ID: id}})
	if !ok {
		return Result{}, false
	}
	return *r.Result, true
}

// add stores a result whose id is not in the table. It drops the oldest results that exceed the bounds and returns the
// version of the last one dropped, 0 if none. Looking up a result does not renew it: every dropped result must be older
// than all that remain, or the horizon would not hold.
func (t *resultTable) add(r *Result, b Bounds) (dropped Version) {
	digest, size := digestResult(r)
	t.byID.ReplaceOrInsert(storedResult{r, size})
	t.byVersion.ReplaceOrInsert(storedResult{r, size})
	t.bytes += size
	t.sum.add(digest)
	for t.byVersion.Len() > b.Results || t.bytes > b.ResultBytes {
		old, _ := t.byVersion.DeleteMin()
		t.byID.Delete(old)
		t.bytes -= old.bytes
		digest, _ := digestResult(old.Result)
		t.sum.sub(digest)
		dropped = old.Version
	}
	return dropped
}
