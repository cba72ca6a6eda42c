package program

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// baseTOML is the five lines before a [cluster] section in these tests; by default listen is 127.0.0.1:3000 and registry is
// 127.0.0.1:8500.
const baseTOML = "operator = \"127.0.0.1:3001\"\nzone = \"a\"\nzones = [\"a\"]\n" +
	"class = [{ name = \"p\", effect = \"safe\", aim = \"1s\", deadline = \"1s\" }]\n\n"

func writeClusterFile(t *testing.T, clusterText string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(path, []byte(baseTOML+clusterText), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// clusterSection returns a [cluster] section, lines 6 to 12 of the file, with one part replaced.
func clusterSection(folder, from, to string) string {
	return strings.Replace(fmt.Sprintf(`[cluster]
name = "athens"
member = "v1"
listen = "127.0.0.1:7101"
folder = %q
voters = [ {name="v1", addr="127.0.0.1:7101"}, {name="v2", addr="127.0.0.1:7102"}, {name="v3", addr="127.0.0.1:7103"} ]
follow = [ {name="o1", addr="127.0.0.1:7111"} ]
`, folder), from, to, 1)
}

func TestClusterSection(t *testing.T) {
	folder := t.TempDir()
	want := &ClusterConfig{Name: "athens", Member: "v1", Listen: "127.0.0.1:7101", Folder: folder,
		Voters: []ClusterPeer{{"v1", "127.0.0.1:7101"}, {"v2", "127.0.0.1:7102"}, {"v3", "127.0.0.1:7103"}},
		Follow: []ClusterPeer{{"o1", "127.0.0.1:7111"}}}
	c, err := LoadFile(writeClusterFile(t, clusterSection(folder, "", "")))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, c.Cluster); diff != "" || !c.Cluster.Voting() {
		t.Errorf("voting %v (-want +got)\n%s", c.Cluster.Voting(), diff)
	}
	if left, err := os.ReadDir(folder); err != nil || len(left) > 0 {
		t.Errorf("checking the folder left %v, %v", left, err)
	}
	c, err = LoadFile(writeClusterFile(t, clusterSection("", "\"v1\"\nlisten = \"127.0.0.1:7101\"", "\"o2\"\nlisten = \"127.0.0.1:7112\"")))
	if err != nil || c.Cluster.Voting() || c.Cluster.Folder != "" {
		t.Errorf("an observer without a folder: %+v, %v", c, err)
	}
	if c, err = LoadFile(writeClusterFile(t, "")); err != nil || c.Cluster != nil {
		t.Errorf("without a section: %v, %v", c, err)
	}
	json := Config{Path: "a.json"}
	if _, err = json.parseJSON([]byte(strings.Replace(jsonConfig, "{", `{"cluster":{"name":5},`, 1))); err != nil || json.Cluster != nil {
		t.Errorf("the platform's form: %v, %v", json.Cluster, err)
	}
}

// Every fault of the section is reported on one line, with its position.
func TestClusterSectionFaults(t *testing.T) {
	folder := t.TempDir()
	plainFile := filepath.Join(folder, "plain")
	if err := os.WriteFile(plainFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	deepDir := folder // so deep that no further name fits, so not even root can create a file in it
	for n := 200; n > 0; {
		if next := filepath.Join(deepDir, strings.Repeat("d", n)); os.Mkdir(next, 0o700) == nil {
			deepDir = next
		} else {
			n /= 2
		}
	}
	long := strings.Repeat("n", 65)
	for name, test := range map[string]struct {
		from, to string
		want     []string
	}{
		"whole":           {"", "", nil},
		"another forward": {`addr="127.0.0.1:7101"`, `addr="127.0.0.1:9101"`, nil},
		"seven voters": {`{name="v3"`, `{name="v4", addr="127.0.0.1:7104"}, {name="v5", addr="127.0.0.1:7105"}, ` +
			`{name="v6", addr="127.0.0.1:7106"}, {name="v7", addr="127.0.0.1:7107"}, {name="v3"`, nil},
		"any free port": {`listen = "127.0.0.1:7101"`, `listen = "0.0.0.0:0"`, nil},
		"nothing": {clusterSection(folder, "", ""), "[cluster]\n", []string{"6:2: cluster.name: missing", "6:2: cluster.member: missing",
			"6:2: cluster.listen: missing", "6:2: cluster.voters: missing"}},
		"no table":       {clusterSection(folder, "", ""), "cluster = 3", []string{"6:1: cluster: 3: a table is expected"}},
		"unknown":        {"follow", "folow", []string{"12:1: cluster.folow: unknown key; one of name, member, listen, folder, voters, follow, rules, island, hall, caller, version, version_segment, under_way is expected"}},
		"unknown inside": {`name="v2",`, `name="v2", port=1,`, []string{"11:60: cluster.voters[1].port: unknown key; one of name, addr is expected"}},
		"name": {`"athens"`, `"a b"`,
			[]string{`7:1: cluster.name: "a b": must be 1 to 64 letters, digits, '.', '_' or '-'`}},
		"empty name": {`"athens"`, `""`, []string{`7:1: cluster.name: "": must be 1 to 64`}},
		"long name":  {`"athens"`, `"` + long + `"`, []string{`7:1: cluster.name: "` + long + `": must be 1 to 64`}},
		"two lines":  {`"athens"`, `"a\nb"`, []string{`7:1: cluster.name: "a\nb": must be 1 to 64`}},
		"type":       {`"athens"`, `4`, []string{`7:1: cluster.name: 4 is no text in quotes`}},
		"member":     {`"v1"`, `"v/1"`, []string{`8:1: cluster.member: "v/1": must be 1 to 64`}},
		"all at once": {clusterSection(folder, "", ""), "[cluster]\nname = \"\"\nmember = \"o1\"\nlisten = \"here\"\n" +
			"[[cluster.voters]]\nname = \"v 1\"\naddr = \"::1\"\n[[cluster.voters]]\naddr = \"127.0.0.1:2\"\n",
			[]string{`7:1: cluster.name: ""`, `9:1: cluster.listen: "here"`, `10:11: cluster.voters: 2 voters`,
				`11:1: cluster.voters[0].name: "v 1"`, `12:1: cluster.voters[0].addr: "::1"`, "13:11: cluster.voters[1].name: missing"}},
		"own address": {`"127.0.0.1:7101"`, `"localhost:7101"`,
			[]string{`9:1: cluster.listen: "localhost:7101": must be an IPv4 address and port, such as 127.0.0.1:7101`}},
		"clients' address":   {`"127.0.0.1:7101"`, `"127.0.0.1:3000"`, []string{"9:1: cluster.listen: 127.0.0.1:3000 is already the sidecar's listen address; use a separate address"}},
		"operators' address": {`"127.0.0.1:7101"`, `"0.0.0.0:3001"`, []string{"9:1: cluster.listen: 0.0.0.0:3001 is already the sidecar's operator address"}},
		"registry's address": {`"127.0.0.1:7101"`, `"127.0.0.1:8500"`, []string{"9:1: cluster.listen: 127.0.0.1:8500 is already the sidecar's registry address"}},
		"another's address": {`listen = "127.0.0.1:7101"`, `listen = "127.0.0.1:7102"`,
			[]string{"11:60: cluster.voters[1].addr: 127.0.0.1:7102 is this member's own listen address"}},
		"voter's address": {`"127.0.0.1:7103"`, `"127.0.0.1"`, []string{`11:96: cluster.voters[2].addr: "127.0.0.1": must be an IPv4 address and port`}},
		"port 0":          {`"127.0.0.1:7103"`, `"127.0.0.1:0"`, []string{`11:96: cluster.voters[2].addr: 127.0.0.1:0 is not a reachable address`}},
		"every address":   {`"127.0.0.1:7103"`, `"0.0.0.0:7103"`, []string{`11:96: cluster.voters[2].addr: 0.0.0.0:7103 is not a reachable address`}},
		"voter twice":     {`"v3"`, `"v2"`, []string{`11:85: cluster.voters[2].name: "v2" is listed twice`}},
		"address twice":   {`"127.0.0.1:7103"`, `"127.0.0.1:7102"`, []string{`11:96: cluster.voters[2].addr: 127.0.0.1:7102 is already the address of "v2"`}},
		"no address":      {`, addr="127.0.0.1:7103"`, ``, []string{`11:84: cluster.voters[2].addr: missing`}},
		"no voters":       {clusterSection(folder, "", "")[strings.Index(clusterSection(folder, "", ""), "voters"):], "voters = []", []string{"11:1: cluster.voters: 0 voters; must be 1, 3, 5 or 7"}},
		"two voters":      {`, {name="v3", addr="127.0.0.1:7103"}`, ``, []string{"11:1: cluster.voters: 2 voters; must be 1, 3, 5 or 7"}},
		"nine voters": {`{name="v3"`, `{name="v4", addr="127.0.0.1:1"}, {name="v5", addr="127.0.0.1:2"}, {name="v6", addr="127.0.0.1:3"}, ` +
			`{name="v7", addr="127.0.0.1:4"}, {name="v8", addr="127.0.0.1:5"}, {name="v9", addr="127.0.0.1:6"}, {name="v3"`,
			[]string{"11:1: cluster.voters: 9 voters; must be 1, 3, 5 or 7"}},
		"follows itself":    {`name="o1"`, `name="v1"`, []string{`12:13: cluster.follow[0].name: "v1" is a voter, not an observer`}},
		"observes itself":   {`"v1"`, `"o1"`, []string{`11:24: cluster.voters[0].addr: 127.0.0.1:7101 is this member's own listen`, `12:13: cluster.follow[0].name: "o1" is this member itself`}},
		"follows a voter":   {`127.0.0.1:7111`, `127.0.0.1:7103`, []string{`12:24: cluster.follow[0].addr: 127.0.0.1:7103 is already the address of "v3"`}},
		"observer twice":    {`{name="o1"`, `{name="o1", addr="127.0.0.1:1"}, {name="o1"`, []string{`12:46: cluster.follow[1].name: "o1" is listed twice`}},
		"no folder":         {fmt.Sprintf("folder = %q", folder), "", []string{`6:2: cluster.folder: missing; voter "v1" requires a folder`}},
		"folder missing":    {folder, folder + "/none", []string{`10:1: cluster.folder: "` + folder + `/none" does not exist; a folder that only`}},
		"folder of no kind": {folder, plainFile, []string{`10:1: cluster.folder: "` + plainFile + `" is not a folder`}},
		"folder read-only":  {folder, deepDir, []string{`10:1: cluster.folder: "` + deepDir + `" is not writable: `}},
	} {
		path := writeClusterFile(t, clusterSection(folder, test.from, test.to))
		faults, err := Check(path)
		if err != nil {
			t.Fatal(err)
		}
		for i, want := range test.want {
			if i >= len(faults) || !strings.HasPrefix(faults[i].Error(), path+":"+want) || strings.Contains(faults[i].Error(), "\n") {
				t.Errorf("%s: fault %d is not %q in %v", name, i, want, []any{faults})
			}
		}
		if len(faults) > len(test.want) {
			t.Errorf("%s: more faults: %v", name, faults[len(test.want):])
		}
		if _, err = LoadFile(path); (err == nil) != (len(test.want) == 0) {
			t.Errorf("%s: LoadFile: %v", name, err)
		}
	}
}

// Addresses from environment variables are checked in place of the file's.
func TestClusterAddressesFromEnvironment(t *testing.T) {
	folder := t.TempDir()
	path := writeClusterFile(t, clusterSection(folder, `listen = "127.0.0.1:7101"`, `listen = "127.0.0.1:3000"`))
	env := map[string]string{"EDGE_NAME": "n0", "EDGE_LISTEN": "127.0.0.1:4000", "EDGE_DISCOVERY": "127.0.0.1:1",
		"EDGE_OPERATOR": "127.0.0.1:4001", "EDGE_CONFIG": path}
	for _, test := range []struct{ key, value, want string }{
		{"EDGE_NAME", "n0", ""}, {"EDGE_LISTEN", "127.0.0.1:3000", "sidecar's listen address"}, {"EDGE_OPERATOR", "127.0.0.1:3000", "sidecar's operator address"},
		{"EDGE_DISCOVERY", "127.0.0.1:3000", "sidecar's registry address"},
	} {
		before := env[test.key]
		env[test.key] = test.value
		_, err := Load(func(k string) string { return env[k] })
		if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s=%s: %v", test.key, test.value, err)
		}
		env[test.key] = before
	}
}

// A reload reports a changed section as needing a restart, and does not check the folder, which is in use.
func TestClusterReload(t *testing.T) {
	folder := t.TempDir()
	for _, test := range []struct{ from, to, want string }{
		{"", "", ""}, {clusterSection(folder, "", ""), "", "cluster"}, {"7111", "7112", "cluster"}, {folder, folder + "/other", "cluster"},
	} {
		path := writeClusterFile(t, clusterSection(folder, "", ""))
		c, err := LoadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(baseTOML+clusterSection(folder, test.from, test.to)), 0o600); err != nil {
			t.Fatal(err)
		}
		next, err := c.Reload()
		if err != nil {
			t.Errorf("%q: %v", test.to, err)
		} else if got := strings.Join(c.ChangesNeedingRestart(next), ","); got != test.want {
			t.Errorf("%q: needs a restart for %q, want %q", test.to, got, test.want)
		}
	}
}

func FuzzTOML(f *testing.F) {
	f.Add(baseTOML + clusterSection("/", "", ""))
	f.Add(baseTOML + "[cluster]\nname='a'\nmember='b'\nlisten='1.2.3.4:5'\n[[cluster.voters]]\nname='b'\naddr='1.2.3.4:6'\n[[worker]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		c := Config{Path: "a.toml", isReload: true}
		if _, err := c.parseTOML([]byte(text)); err != nil || c.Cluster == nil {
			return
		}
		k := c.Cluster
		if len(k.Voters)%2 == 0 || len(k.Voters) > maxVoters || !memberNamePattern.MatchString(k.Name+k.Member) && len(k.Name+k.Member) <= 64 || k.Voting() && k.Folder == "" {
			t.Errorf("accepted %+v of %s", k, text)
		}
	})
}
