package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type inner struct {
	Name string  `toml:"name" required:"true"`
	Part float64 `toml:"part" default:"0.5" range:"0..1"`
}

type sample struct {
	Wait  time.Duration `toml:"wait" default:"250ms" range:"1ms..1h"`
	Room  Size          `toml:"room" default:"64KiB"`
	Mode  string        `toml:"mode" default:"fast" oneof:"fast slow"`
	N     int           `toml:"n" range:"1.."`
	On    bool          `toml:"on"`
	List  []float64     `toml:"list" default:"1 2"`
	Table inner         `toml:"table"`
	Items []inner       `toml:"item"`
	Extra *inner        `toml:"extra"`
}

func TestDecode(t *testing.T) {
	var got sample
	f := Decode("a.toml", []byte("wait = \"2s\"\nn = 3\ntable.name = \"t\"\n[[item]]\nname = \"x\"\npart = 1\n[[item]]\nname = \"y\"\n[extra]\nname = \"z\"\n"), &got)
	if f.Err() != nil {
		t.Fatal(f.Err())
	}
	want := sample{Wait: 2 * time.Second, Room: 64 << 10, Mode: "fast", N: 3, List: []float64{1, 2},
		Table: inner{"t", 0.5}, Items: []inner{{"x", 1}, {"y", 0.5}}, Extra: &inner{"z", 0.5}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// Every error of a file is reported with its position.
func TestDecodeReportsEveryError(t *testing.T) {
	text := `wait = 5
room = "64 pounds"
mode = "quick"
n = 0
on = "yes"
lst = [1]
list = [1, "x"]
table = { name = "t", part = 2.0 }

[[item]]
part = 0.1
[[item]]
  nme = "y"
  name = 4
[[item]]
[extra]
`
	var into sample
	want := []string{"1:1 wait 5", "2:1 room pounds", "3:1 mode fast, slow", "4:1 n at least 1", "5:1 on true or false",
		"6:1 lst unknown key", "7:1 list[1] not a number", "8:23 table.part 0 to 1", "10:3 item[0].name missing",
		"13:3 item[1].nme unknown key", "14:3 item[1].name no text", "15:3 item[2].name missing", "16:2 extra.name missing"}
	faults, _ := Decode("a.toml", []byte(text), &into).Err().(FileErrors)
	for i, f := range faults {
		if i >= len(want) {
			t.Errorf("unexpected error: %v", f)
			continue
		}
		place, rest, _ := strings.Cut(want[i], " ")
		key, word, _ := strings.Cut(rest, " ")
		if got := fmt.Sprintf("%d:%d", f.Line, f.Column); got != place || f.Key != key || !strings.Contains(f.Text, word) {
			t.Errorf("got %v, want %s", f, want[i])
		}
	}
	if len(faults) < len(want) {
		t.Errorf("%d errors, want %d", len(faults), len(want))
	}
	list := "\nitem = [\n  { name = \"x\" },\n  { part = 0.1 },\n  3, ]\nextra = 3\ntable.name = \"t\"\nn = 1\n"
	f := Decode("a.toml", []byte(list), &into)
	for key, want := range map[string]bool{"item[1].name": true, "item[2].name": true, "extra.name": true, "item": false, "item[0].name": false,
		"item[1].part": false, "ext": false, "": false} {
		if got := f.HasError(key); got != want {
			t.Errorf("%q: Failed returned %v", key, got)
		}
	}
	if at := f.Err().(FileErrors)[1]; at.Error() != "a.toml:4:3: item[1].name: missing" {
		t.Errorf("error in an inline list of tables: %v", at)
	}
	f = Decode("a.toml", []byte("a = 1\nb = = 2\n"), &into)
	if err := f.Err(); err == nil || !f.HasError("") || !strings.HasPrefix(err.Error(), "a.toml:2:") {
		t.Errorf("syntax error: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("wait = \"2s\"\n[[item]]\nname = \"x\"\n[table]\nname=\"a\"")
	f.Add("item = [{name=\"a\"}, {part=1}]\n\"a.b\".c = 1")
	f.Add("table.name = \"t\"\n[extra]\nname = \"z\"\n[[extra.item]]\n[[extra.item]]\n")
	f.Add("table.name = \"t\"\nextra = 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		var into sample
		if Decode("a", []byte(text), &into).Err() == nil && (into.Table.Name == "" && !strings.Contains(text, `""`) && !strings.Contains(text, "''")) {
			t.Errorf("accepted without the required key: %q", text)
		}
		if into.Extra != nil && !strings.Contains(text, "extra") && !strings.Contains(text, `\`) {
			t.Errorf("decoded an absent table: %q", text)
		}
	})
}

func TestSize(t *testing.T) {
	for text, want := range map[string]Size{"0B": 0, "64KiB": 65536, "1.5MB": 1_500_000, "2 GiB": 2 << 30} {
		got, err := ParseSize(text)
		if err != nil || got != want {
			t.Errorf("%q: %d, %v", text, got, err)
		}
		if again, err := ParseSize(got.String()); err != nil || again != got {
			t.Errorf("%v formatted as %q", int64(got), got.String())
		}
	}
	for _, text := range []string{"", "5", "-1B", "KiB", "9e300GiB", "NaNB"} {
		if _, err := ParseSize(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
