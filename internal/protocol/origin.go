package protocol

import (
	"bytes"
	"net/url"
	"path"
	"strings"
)

// Origin holds the attributes of a call, besides its class, that rules match on.
type Origin struct {
	Caller   string // name the caller gives itself; "" if unknown
	Key      string // Idempotency-Key header; "" if absent
	Version  string // API version named by the client; "" if absent
	UnderWay bool   // the client says that the call continues work that began earlier
	Path     string // normalized path after the class, "" or "/a/b", without the query
}

// OriginConfig configures where a call's origin is read from. An empty header name or a zero segment disables that attribute.
type OriginConfig struct {
	Caller   string // header name
	Version  string // header name
	UnderWay string // name of a header that is set on calls whose booking is under way
	Segment  int    // path segment that holds the version if no header gives it; 1 is the segment after the class
}

// maxAttributeBytes is the maximum length of a caller's name or a version.
const maxAttributeBytes = 64

// visibleValue returns a header's value if the header occurs exactly once and its value is 1 to 64 bytes of visible ASCII,
// and nil otherwise.
func (h *head) visibleValue(name string) []byte {
	if name == "" || h.count(name) != 1 {
		return nil
	}
	return visibleASCII(h.get(name))
}

// visibleASCII returns b if it is 1 to 64 bytes of visible ASCII, and nil otherwise.
func visibleASCII(b []byte) []byte {
	if len(b) > maxAttributeBytes {
		return nil
	}
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return nil
		}
	}
	return b
}

// extract reads the origin of a call from its head. target is the request's path, which begins with the class.
func (o *OriginConfig) extract(h *head, target []byte) *Origin {
	subpath := bytes.TrimPrefix(target, []byte("/"))
	if i := bytes.IndexByte(subpath, '/'); i >= 0 {
		subpath = subpath[i:]
	} else {
		subpath = nil
	}
	caller, version, key := h.visibleValue(o.Caller), h.visibleValue(o.Version), h.get(headerIdempotencyKey)
	var buffer [256]byte
	joined := append(append(append(append(buffer[:0], subpath...), caller...), version...), key...)
	s := string(joined) // a single allocation for all strings
	out := &Origin{}
	out.Path, s = normalizePath(s[:len(subpath)]), s[len(subpath):]
	out.Caller, s = s[:len(caller)], s[len(caller):]
	out.Version, out.Key = s[:len(version)], s[len(version):]
	out.UnderWay = h.visibleValue(o.UnderWay) != nil
	if out.Version == "" && o.Segment > 0 {
		out.Version = pathSegment(out.Path, o.Segment)
	}
	return out
}

// pathSegment returns the n-th segment of a path, counted from 1, if it can be a version, and "" otherwise.
func pathSegment(path string, n int) string {
	for ; n > 0 && path != ""; n-- {
		s, rest := path[1:], ""
		if i := strings.IndexByte(s, '/'); i >= 0 {
			s, rest = s[:i], s[i:]
		}
		if n == 1 && visibleASCII([]byte(s)) != nil {
			return s
		}
		path = rest
	}
	return ""
}

// normalizePath returns a path in the form that rules match on: unescaped, without empty or dot segments, and without a
// trailing slash. Workers treat the other spellings as the same path, so rules must as well, or a caller could evade them.
func normalizePath(p string) string {
	if !strings.Contains(p, "%") && !strings.Contains(p, "//") && !strings.Contains(p, "/.") && !strings.HasSuffix(p, "/") {
		return p
	}
	if u, err := url.PathUnescape(p); err == nil {
		p = u
	}
	if p = path.Clean("/" + p); p == "/" {
		return ""
	}
	return p
}
