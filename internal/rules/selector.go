package rules

import (
	"errors"
	"fmt"
	"strings"
)

// Call is what rules are asked about: where a call was taken, its class, its path as the client wrote it, and who calls.
type Call struct {
	Island string `json:"island"`
	Hall   string `json:"hall"` // or branch
	Class  string `json:"class"`
	Path   string `json:"path"` // "" or "/a/b"
	Caller string `json:"caller"`
}

// Selector says which calls a namespace has: each part is equal, or "" for any; Path is a prefix of whole segments.
type Selector struct{ Island, Hall, Class, Path string }

// maxSegments is how many segments a namespace's path has at most.
const maxSegments = 8

// ParseSelector reads ISLAND/HALL/CLASS[/PATH...], with * for any of the first three.
func ParseSelector(s string) (Selector, error) {
	parts := strings.SplitN(s, "/", 4)
	if len(parts) < 3 {
		return Selector{}, fmt.Errorf("%.60q is not ISLAND/HALL/CLASS[/PATH...]", s)
	}
	for i, p := range parts[:3] {
		if p == "*" {
			parts[i] = ""
		} else if !name(p) {
			return Selector{}, fmt.Errorf("%.60q: %.40q is neither * nor 1 to %d of a-z 0-9 . _ -", s, p, nameBytes)
		}
	}
	out := Selector{Island: parts[0], Hall: parts[1], Class: parts[2]}
	if len(parts) == 4 {
		segments := strings.Split(parts[3], "/")
		if len(segments) > maxSegments {
			return Selector{}, fmt.Errorf("%.60q: the path has more than %d segments", s, maxSegments)
		}
		for _, p := range segments {
			if !segment(p) {
				return Selector{}, fmt.Errorf("%.60q: the path's %.40q is not 1 to %d of A-Z a-z 0-9 . _ ~ -", s, p, nameBytes)
			}
		}
		out.Path = "/" + parts[3]
	}
	return out, nil
}

// String is the form that ParseSelector reads.
func (s Selector) String() string {
	star := func(p string) string {
		if p == "" {
			return "*"
		}
		return p
	}
	return star(s.Island) + "/" + star(s.Hall) + "/" + star(s.Class) + s.Path
}

// Matches tells whether a call is in the namespace.
func (s Selector) Matches(c Call) bool {
	return (s.Island == "" || s.Island == c.Island) && (s.Hall == "" || s.Hall == c.Hall) &&
		(s.Class == "" || s.Class == c.Class) && begins(c.Path, s.Path)
}

// Contains tells whether every call in other is in s.
func (s Selector) Contains(other Selector) bool {
	return (s.Island == "" || s.Island == other.Island) && (s.Hall == "" || s.Hall == other.Hall) &&
		(s.Class == "" || s.Class == other.Class) && begins(other.Path, s.Path)
}

// Meet gives the calls that are in both; false where there are none. It is symmetric.
func (s Selector) Meet(other Selector) (Selector, bool) {
	out := s
	if !meet(&out.Island, other.Island) || !meet(&out.Hall, other.Hall) || !meet(&out.Class, other.Class) {
		return Selector{}, false
	}
	switch {
	case begins(other.Path, s.Path):
		out.Path = other.Path
	case !begins(s.Path, other.Path):
		return Selector{}, false
	}
	return out, true
}

func meet(a *string, b string) bool {
	if *a == "" {
		*a = b
	}
	return b == "" || *a == b
}

// begins tells whether a path begins with the segments of a prefix.
func begins(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix && (len(path) == len(prefix) || path[len(prefix)] == '/' || prefix == "")
}

// Witness is a call in the namespace. Parts that it leaves open get names that stand for any.
func (s Selector) Witness() Call { return s.witness() }

// witness is a call in the namespace. Parts that it leaves open get names that stand for any.
func (s Selector) witness() Call {
	pick := func(p, any string) string {
		if p == "" {
			return any
		}
		return p
	}
	return Call{pick(s.Island, "any-island"), pick(s.Hall, "any-hall"), pick(s.Class, "any-class"), s.Path, "any-caller"}
}

const nameBytes = 40

// name tells whether s can name a team, a rule or a part of a namespace.
func name(s string) bool {
	return 0 < len(s) && len(s) <= nameBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < '0' || '9' < r) && r != '.' && r != '_' && r != '-'
	})
}

func segment(s string) bool {
	return 0 < len(s) && len(s) <= nameBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < 'A' || 'Z' < r) && (r < '0' || '9' < r) && !strings.ContainsRune("._~-", r)
	})
}

// RuleKey is NAMESPACE#SETTING#NAME, taken apart.
type RuleKey struct {
	In      Selector
	Setting Setting
	Name    string
}

// String is the key as refusals write it.
func (k RuleKey) String() string { return k.In.String() + "#" + string(k.Setting) + "#" + k.Name }

// ParseRuleKey reads the key of a rule's item.
func ParseRuleKey(s string) (RuleKey, error) {
	parts := strings.Split(s, "#")
	if len(parts) != 3 {
		return RuleKey{}, fmt.Errorf("%.60q is not NAMESPACE#SETTING#NAME", s)
	}
	in, err := ParseSelector(parts[0])
	if err != nil {
		return RuleKey{}, err
	}
	k := RuleKey{in, Setting(parts[1]), parts[2]}
	if !k.Setting.known() {
		return RuleKey{}, fmt.Errorf("setting: %.40q is not one of %v", parts[1], Settings())
	}
	if !name(k.Name) {
		return RuleKey{}, errors.New("name: it must be 1 to 40 of a-z 0-9 . _ -")
	}
	return k, nil
}
