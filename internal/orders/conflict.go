package orders

import (
	"crypto/rand"
	"encoding/json"

	"burlpass/internal/record"
)

// resolveLocked decides what becomes of an order that the record has refused because its target was changed after the version that
// the order rests on. An order that disables applies whatever was changed. One that enables gives way to another member's order to disable that it did
// not know of: a majority has promised that the target is out. Everything else is tried again on a newer version.
func (k *Keeper) resolveLocked(p *pendingOrder, result record.Result) {
	if p.Disabled {
		p.ID, p.Base = rand.Text(), result.Version
		return
	}
	disabledBy, base, known := k.changeSince(p, result)
	switch {
	case !known: // this member's copy of the record will show it
	case disabledBy != "" && disabledBy != k.By:
		p.superseded = true
		k.Log.Warn("order_superseded", "target", string(p.Target), "by", disabledBy, "version", base)
		k.applyLocked()
	default:
		p.ID, p.Base = rand.Text(), base
	}
}

// changeSince returns who has disabled the target of an order after the version that the order rests on, "" if nobody, and the version that
// this is known for. The result of a stale write names the change; for one whose base is forgotten the member's copy is asked, which may still be
// older than the result.
func (k *Keeper) changeSince(p *pendingOrder, result record.Result) (disabledBy string, version record.Version, known bool) {
	for _, item := range result.Newer {
		if item.Kind == orderKind && item.Key == string(p.Target) {
			return author(item), item.Version, true
		}
	}
	view := k.currentView()
	if view == nil || view.Version() < result.Version {
		return "", 0, false
	}
	if item, disabled := view.Get(orderKind, string(p.Target)); disabled && item.Version > p.Base {
		return author(item), item.Version, true
	}
	return "", view.Version(), true
}

// author returns who gave the order that an item holds, "" if the item has been removed.
func author(item record.Item) string {
	if item.Value == nil {
		return ""
	}
	var value struct {
		By string `json:"by"`
	}
	if json.Unmarshal(item.Value, &value) != nil || value.By == "" {
		return "unknown"
	}
	return value.By
}
