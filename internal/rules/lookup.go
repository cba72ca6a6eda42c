package rules

import (
	"slices"
	"strings"
	"time"

	"burlpass/internal/record"
)

// namespaceIndex finds the namespaces that match a call. It has a trie of path segments for each combination of
// island, zone and class that occurs.
type namespaceIndex struct {
	islands, zones, classes, segments map[string]uint32 // IDs of names, from 1; 0 stands for any
	roots                             map[uint64]int32
	children                          map[uint64]int32 // by trie node << 32 | segment ID
	namespaces                        []int32          // by trie node: the namespace there, -1 for none
}

func newNamespaceIndex(preorder []*node) *namespaceIndex {
	index := &namespaceIndex{
		islands: map[string]uint32{}, zones: map[string]uint32{}, classes: map[string]uint32{}, segments: map[string]uint32{},
		roots: map[uint64]int32{}, children: map[uint64]int32{},
	}
	idOf := func(m map[string]uint32, s string) uint32 {
		if s == "" {
			return 0
		}
		if m[s] == 0 {
			m[s] = uint32(len(m) + 1)
		}
		return m[s]
	}
	childNode := func(m map[uint64]int32, key uint64) int32 {
		trieNode, ok := m[key]
		if !ok {
			trieNode = int32(len(index.namespaces))
			index.namespaces = append(index.namespaces, -1)
			m[key] = trieNode
		}
		return trieNode
	}
	for i, n := range preorder {
		trieNode := childNode(index.roots, rootKey(idOf(index.islands, n.Island), idOf(index.zones, n.Hall), idOf(index.classes, n.Class)))
		for s := range strings.SplitSeq(strings.TrimPrefix(n.Path, "/"), "/") {
			if s != "" {
				trieNode = childNode(index.children, uint64(trieNode)<<32|uint64(idOf(index.segments, s)))
			}
		}
		index.namespaces[trieNode] = int32(i)
	}
	return index
}

func rootKey(island, zone, class uint32) uint64 {
	return uint64(island)<<42 | uint64(zone)<<21 | uint64(class)
}

// matchList holds the namespaces that match a call. It has room for the maximum: eight combinations of island,
// zone and class, times the prefixes of a path.
type matchList struct {
	nodes [8 * (maxSegments + 1)]int32
	count int
}

// add inserts a namespace and keeps the list in the order of the tree.
func (list *matchList) add(node int32) {
	i := list.count
	for ; i > 0 && list.nodes[i-1] > node; i-- {
		list.nodes[i] = list.nodes[i-1]
	}
	list.nodes[i] = node
	list.count++
}

func (index *namespaceIndex) match(c *Call, matches *matchList) {
	island, zone, class := index.islands[c.Island], index.zones[c.Hall], index.classes[c.Class]
	var path [maxSegments]uint32
	depth := 0
	for rest := c.Path; depth < maxSegments && len(rest) > 1 && rest[0] == '/'; depth++ {
		s := rest[1:]
		if end := strings.IndexByte(s, '/'); end >= 0 {
			s = s[:end]
		}
		rest = rest[1+len(s):]
		if path[depth] = index.segments[s]; path[depth] == 0 {
			break
		}
	}
	for wildcards := range uint32(8) { // bit mask: which of island, zone and class are any
		i, z, k := island, zone, class
		if wildcards&1 != 0 {
			i = 0
		} else if i == 0 {
			continue
		}
		if wildcards&2 != 0 {
			z = 0
		} else if z == 0 {
			continue
		}
		if wildcards&4 != 0 {
			k = 0
		} else if k == 0 {
			continue
		}
		trieNode, ok := index.roots[rootKey(i, z, k)]
		for d := 0; ok; d++ {
			if node := index.namespaces[trieNode]; node >= 0 {
				matches.add(node)
			}
			if d == depth {
				break
			}
			trieNode, ok = index.children[uint64(trieNode)<<32|uint64(path[d])]
		}
	}
}

// Verdict is what the rules prescribe for a call.
type Verdict struct {
	Version  record.Version
	Allowed  bool          // the caller is allowed
	Attempts int64         // maximum; 0 if there is none
	Repeat   bool          // the rules and the class allow the call to be sent again
	Deadline time.Duration // the client's deadline, or a shorter one
	Worth    int64         // -1 if no rule sets it
	Rate     Limit         // the first limit that counts the call; Table.Limit returns the next one
	Calls    Limit
}

// Limit identifies a limit within its table; NoLimit stands for none.
type Limit int32

// NoLimit marks the end of the limits of a call.
const NoLimit Limit = -1

// Lookup returns what applies to a call whose client waits for deadline. It does not allocate.
func (t *Table) Lookup(c *Call, deadline time.Duration) Verdict {
	var matches matchList
	t.namespaces.match(c, &matches)
	specific := t.mostSpecific(&matches)
	verdict := Verdict{Version: t.version, Allowed: true, Repeat: true, Deadline: deadline, Worth: -1, Rate: NoLimit, Calls: NoLimit}
	if limits, ok := t.classes[c.Class]; ok {
		verdict.Attempts, verdict.Repeat = limits.attempts, limits.repeat
	}
	for setting := range settingCount {
		slotIndex := t.effectiveSlot(specific, setting)
		if slotIndex < 0 {
			continue
		}
		effective := &t.slots[slotIndex]
		switch setting {
		case 0:
			verdict.Rate = Limit(slotIndex)
		case 1:
			verdict.Calls = Limit(slotIndex)
		case 2:
			if verdict.Attempts == 0 || effective.amount < verdict.Attempts {
				verdict.Attempts = effective.amount
			}
		case 3:
			verdict.Repeat = verdict.Repeat && effective.amount == 1
		case 4:
			verdict.Deadline = min(verdict.Deadline, time.Duration(effective.amount)*time.Millisecond)
		case 5:
			verdict.Worth = effective.amount
		case 6:
			_, verdict.Allowed = slices.BinarySearch(effective.value.Callers, c.Caller)
		}
	}
	return verdict
}

// Holding returns the key of the rule that is effective for a call and a setting, "" if there is none.
func (t *Table) Holding(c *Call, setting Setting) string {
	var matches matchList
	t.namespaces.match(c, &matches)
	if slotIndex := t.effectiveSlot(t.mostSpecific(&matches), setting.index()); slotIndex >= 0 {
		return t.slots[slotIndex].rule.Key
	}
	return ""
}

// mostSpecific returns the matching namespaces that have no matching descendant. The others can be ignored, since
// a namespace inherits from its ancestors. The result reuses the memory of the list.
func (t *Table) mostSpecific(matches *matchList) []int32 {
	leaves := matches.nodes[:0]
	for i, node := range matches.nodes[:matches.count] {
		if i+1 == matches.count || matches.nodes[i+1] >= t.spans[node].end {
			leaves = append(leaves, node)
		}
	}
	return leaves
}

// effectiveSlot returns the slot that applies to a call with these most specific namespaces, -1 if there is none.
// It is one that is not overruled, the strictest if there are several.
func (t *Table) effectiveSlot(specific []int32, setting int) int32 {
	best, several := int32(-1), false
	for _, node := range specific {
		if candidate := t.effective[int(node)*settingCount+setting]; candidate >= 0 && candidate != best {
			several = best >= 0
			if best = candidate; several {
				break
			}
		}
	}
	if !several {
		return best
	}
	best = -1
	// All slots are overruled only in a cycle of decisions, which no accepted write causes.
	for _, skipOverruled := range [...]bool{true, false} {
		for _, node := range specific {
			candidate := t.effective[int(node)*settingCount+setting]
			if candidate < 0 || candidate == best || skipOverruled && t.isOverruled(candidate, specific, setting) {
				continue
			}
			if best < 0 || compareValues(t.slots[candidate].value, t.slots[best].value) < 0 {
				best = candidate
			}
		}
		if best >= 0 {
			break
		}
	}
	return best
}

// isOverruled reports whether another of the slots is at a descendant of the slot's namespace, or wins against it
// by a decision.
func (t *Table) isOverruled(slotIndex int32, specific []int32, setting int) bool {
	own := t.spans[slotIndex/settingCount]
	for _, node := range specific {
		other := t.effective[int(node)*settingCount+setting]
		if other < 0 || other == slotIndex {
			continue
		}
		if otherNode := other / settingCount; own.start < otherNode && otherNode < own.end ||
			t.precedence[int64(other)<<32|int64(slotIndex)] {
			return true
		}
	}
	return false
}

// Limit returns the rule of a limit, its amount in the setting's unit, and the next limit that counts the same call.
func (t *Table) Limit(l Limit) (rule string, value int64, next Limit) {
	s := &t.slots[l]
	return s.rule.Key, s.amount, Limit(s.parentLimit)
}
