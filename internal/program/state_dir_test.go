package program

import "testing"

// A maintenance order that cannot be persisted for the next process is refused and changes nothing. Orders succeed again once
// the state directory is writable, and orders acknowledged before stay in effect.
func TestUnwritableStateDir(t *testing.T) {
	playScenario(t, scenario{script: `
		operator send DISABLE s-1
		operator expect ACK disabled s-1
		folder send lost
		operator send DISABLE s-0
		operator expect NAK it could not be kept for the next process
		log expect event=maintenance_not_kept
		operator send ENABLE s-1
		operator expect NAK it could not be kept for the next process
		operator send DISABLE-HALL hall-a
		operator expect NAK it could not be kept for the next process
		operator send DRAIN
		operator expect NAK it could not be kept for the next process
		b send "GET /_health HTTP/1.1\r\n\r\n"
		b expect 200 ok
		a send GET /availability/x id=t1 expires=2000m
		w1 expect GET /availability/x id=t1 at=0
		w1 send 200 ok
		a expect 200 ok
		folder send back
		state expect {"kind":"burlpass maintenance 1","out":["s-1"]}
		operator send ENABLE s-1
		operator expect ACK enabled s-1
		operator send DISABLE s-0
		operator expect ACK disabled s-0
		state expect {"kind":"burlpass maintenance 1","out":["s-0"]}`})
}
