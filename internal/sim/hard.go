package sim

import (
	"time"

	"burlpass/internal/lab/scenario"
)

const sec = time.Second

// hard are the cases that the operators and the issues name.
var hard = [][]scenario.Fault{
	{ // a stalled fifth of the fleet during a hall loss with a lagging list
		{Kind: "registry_lag", At: 1 * sec, Length: 7 * sec, Extra: 3 * sec},
		{Kind: "hall_loss", At: 2 * sec, Length: 4 * sec, Hall: "hall-b"},
		{Kind: "hang", At: 3 * sec, Length: 4 * sec, Part: 0.2},
	},
	{ // a reload to a new registry in the middle of a drain
		{Kind: "shrink", At: 2 * sec, Length: 5 * sec, Size: 0.6, Extra: 2 * sec},
		{Kind: "reload", At: 2400 * time.Millisecond, Part: 1},
		{Kind: "reload", At: 2700 * time.Millisecond, Part: 1},
	},
	{ // SIGTERM during a zone's return from cold
		{Kind: "hall_loss", At: 1 * sec, Length: 2 * sec, Hall: "hall-a"},
		{Kind: "term", At: 3600 * time.Millisecond, Part: 1},
		{Kind: "term", At: 7 * sec, Count: 1},
	},
	{ // a paid-extra retry whose hall dies between the two attempts
		{Kind: "cut", At: 1 * sec, Length: 8 * sec, Size: 0.4, Part: 1},
		{Kind: "hall_loss", At: 3 * sec, Length: 1500 * time.Millisecond, Hall: "hall-a"},
		{Kind: "hall_loss", At: 5 * sec, Length: 1500 * time.Millisecond, Hall: "hall-b", Silent: true},
		{Kind: "hall_loss", At: 7 * sec, Length: 1500 * time.Millisecond, Hall: "hall-c"},
	},
	{ // a worker replaced at its old address while an answer of the old one is under way
		{Kind: "slow", At: 1 * sec, Length: 8 * sec, Size: 0.4, Part: 0.5},
		{Kind: "replace", At: 2 * sec, Count: 3, Extra: time.Millisecond},
		{Kind: "replace", At: 4 * sec, Count: 3, Extra: time.Millisecond},
		{Kind: "replace", At: 6 * sec, Count: 2, Extra: 20 * time.Millisecond},
	},
	{ // a cold hall under overload
		{Kind: "hall_loss", At: 1 * sec, Length: 1 * sec, Hall: "hall-a"},
		{Kind: "hall_loss", At: 1200 * time.Millisecond, Length: 1 * sec, Hall: "hall-b"},
		{Kind: "slow", At: 2 * sec, Length: 6 * sec, Size: 0.5, Part: 1},
	},
	{ // news that is late, of a registry that goes down, with drains between
		{Kind: "registry_down", At: 1 * sec, Length: 2 * sec},
		{Kind: "shrink", At: 1500 * time.Millisecond, Length: 6 * sec, Size: 0.5, Extra: 1500 * time.Millisecond},
		{Kind: "registry_lag", At: 2 * sec, Length: 5 * sec, Extra: 2 * sec},
		{Kind: "reload", At: 3100 * time.Millisecond, Part: 1},
	},
}
