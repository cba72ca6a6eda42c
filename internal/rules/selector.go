package rules

import (
	"errors"
	"fmt"
	"strings"
)

// Call has the properties of a call that rules can match: where it was accepted, its class, its path as the client
// sent it, and its caller.
type Call struct {
	Island string `json:"island"`
	Hall   string `json:"hall"` // zone, or branch
	Class  string `json:"class"`
	Path   string `json:"path"` // "" or "/a/b"
	Caller string `json:"caller"`
}

// Selector matches the calls of a namespace. Island, Hall and Class match an equal value, or any if they are "";
// Path is a prefix of whole segments.
type Selector struct{ Island, Hall, Class, Path string }

// maxSegments is the maximum number of segments in the path of a selector.
const maxSegments = 8

// ParseSelector parses ISLAND/ZONE/CLASS[/PATH...]. Each of the first three can be * for any.
func ParseSelector(s string) (Selector, error) {
	parts := strings.SplitN(s, "/", 4)
	if len(parts) < 3 {
		return Selector{}, fmt.Errorf("%.60q is not ISLAND/HALL/CLASS[/PATH...]", s)
	}
	for i, p := range parts[:3] {
		if p == "*" {
			parts[i] = ""
		} else if !validName(p) {
			return Selector{}, fmt.Errorf("%.60q: %.40q is neither * nor 1 to %d of a-z 0-9 . _ -", s, p, maxNameBytes)
		}
	}
	out := Selector{Island: parts[0], Hall: parts[1], Class: parts[2]}
	if len(parts) == 4 {
		segments := strings.Split(parts[3], "/")
		if len(segments) > maxSegments {
			return Selector{}, fmt.Errorf("%.60q: the path has more than %d segments", s, maxSegments)
		}
		for _, p := range segments {
			if !validSegment(p) {
				return Selector{}, fmt.Errorf("%.60q: the path's %.40q is not 1 to %d of A-Z a-z 0-9 . _ ~ -", s, p, maxNameBytes)
			}
		}
		out.Path = "/" + parts[3]
	}
	return out, nil
}

// String returns the form that ParseSelector parses.
func (s Selector) String() string {
	orWildcard := func(p string) string {
		if p == "" {
			return "*"
		}
		return p
	}
	return orWildcard(s.Island) + "/" + orWildcard(s.Hall) + "/" + orWildcard(s.Class) + s.Path
}

// Matches reports whether the selector matches a call.
func (s Selector) Matches(c Call) bool {
	return (s.Island == "" || s.Island == c.Island) && (s.Hall == "" || s.Hall == c.Hall) &&
		(s.Class == "" || s.Class == c.Class) && hasPathPrefix(c.Path, s.Path)
}

// Contains reports whether s matches every call that other matches.
func (s Selector) Contains(other Selector) bool {
	return (s.Island == "" || s.Island == other.Island) && (s.Hall == "" || s.Hall == other.Hall) &&
		(s.Class == "" || s.Class == other.Class) && hasPathPrefix(other.Path, s.Path)
}

// Meet returns the intersection: the selector of the calls that both match, or false if there are none. It is
// symmetric.
func (s Selector) Meet(other Selector) (Selector, bool) {
	out := s
	if !intersectPart(&out.Island, other.Island) || !intersectPart(&out.Hall, other.Hall) || !intersectPart(&out.Class, other.Class) {
		return Selector{}, false
	}
	switch {
	case hasPathPrefix(other.Path, s.Path):
		out.Path = other.Path
	case !hasPathPrefix(s.Path, other.Path):
		return Selector{}, false
	}
	return out, true
}

// intersectPart sets a to the intersection with b, where "" is any value. It returns false if that is empty.
func intersectPart(a *string, b string) bool {
	if *a == "" {
		*a = b
	}
	return b == "" || *a == b
}

// hasPathPrefix reports whether a path begins with the segments of a prefix.
func hasPathPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix &&
		(len(path) == len(prefix) || path[len(prefix)] == '/' || prefix == "")
}

// Witness returns an example of a call that the selector matches. Parts that match any value get a placeholder.
func (s Selector) Witness() Call { return s.witness() }

// witness returns an example of a call that the selector matches. Parts that match any value get a placeholder.
func (s Selector) witness() Call {
	orDefault := func(p, any string) string {
		if p == "" {
			return any
		}
		return p
	}
	return Call{orDefault(s.Island, "any-island"), orDefault(s.Hall, "any-hall"), orDefault(s.Class, "any-class"), s.Path,
		"any-caller"}
}

const maxNameBytes = 40

// validName reports whether s is a valid name of a team, a rule or a part of a namespace.
func validName(s string) bool {
	return 0 < len(s) && len(s) <= maxNameBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < '0' || '9' < r) && r != '.' && r != '_' && r != '-'
	})
}

func validSegment(s string) bool {
	return 0 < len(s) && len(s) <= maxNameBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || 'z' < r) && (r < 'A' || 'Z' < r) && (r < '0' || '9' < r) && !strings.ContainsRune("._~-", r)
	})
}

// RuleKey is the parsed key of a rule: NAMESPACE#SETTING#NAME.
type RuleKey struct {
	In      Selector
	Setting Setting
	Name    string
}

// String returns the form that ParseRuleKey parses. Messages about refused calls contain it.
func (k RuleKey) String() string { return k.In.String() + "#" + string(k.Setting) + "#" + k.Name }

// ParseRuleKey parses the key of a rule's item.
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
	if !k.Setting.valid() {
		return RuleKey{}, fmt.Errorf("setting: %.40q is not one of %v", parts[1], Settings())
	}
	if !validName(k.Name) {
		return RuleKey{}, errors.New("name: it must be 1 to 40 of a-z 0-9 . _ -")
	}
	return k, nil
}
