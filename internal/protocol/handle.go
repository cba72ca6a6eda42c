package protocol

import (
	"time"

	"burlpass/internal/transport"
)

// refuse answers a call without passing it to the handler. No part of it has been sent to a worker.
func (c *client) refuse(call *Call, reason refusalReason) {
	c.recordRefusal(call, reason)
	c.Counters.answered(call.Class, Refused)
	if c.upload != nil {
		c.closing = true
	}
	c.answer(Answer{Verdict: Refused, Wait: c.Advice})
	if c.upload != nil {
		c.Enter(transport.PhaseLingering)
		c.discardRequest()
	}
}

// handle passes a call to the handler, watches meanwhile for the client's disconnect, and writes the answer. It reports whether the
// call was forwarded to a worker.
func (c *client) handle(call *Call) (forwarded bool) {
	c.overload.begin(c.Closing)
	defer c.overload.end()
	watcher := c.newDisconnectWatcher()
	call.ClientLeft, call.ClientState = watcher.disconnected, watcher.clientState
	if c.upload == nil {
		c.ClearReadBounds()
	}
	go watcher.watch()
	begun := time.Now()
	answer := c.Handler.Serve(call)
	c.handlerTime = time.Since(begun)
	defer answer.Reply.Release()
	c.checkAnswered(watcher)
	answer = c.limitTransfers(answer)
	c.Counters.answered(call.Class, answer.Verdict) // before it is written: a client that has the answer finds it counted
	if c.upload != nil {
		c.answerUpload(watcher, answer)
		return answer.Forwarded
	}
	c.closing = c.closing || watcher.hasDisconnected()
	c.sentAhead = (!answer.Forwarded || c.readWait > 0) && watcher.hasNext()
	c.answer(answer)
	c.lastAnswered = time.Now()
	watcher.end()
	c.broken = c.broken || watcher.hasDisconnected()
	c.closing = c.closing || c.broken // what the client has sent ahead is not parsed as a request
	return answer.Forwarded
}

// answerUpload answers a call whose message may not have been read completely.
func (c *client) answerUpload(watcher *disconnectWatcher, answer Answer) {
	err := c.upload.state()
	if err == nil {
		c.closing = c.isLastCall() || watcher.hasDisconnected()
	}
	rejected := err != nil && err != errBodyNotRead
	if rejected {
		c.reject(err)
	} else {
		c.answer(answer)
	}
	c.upload.stop()
	watcher.end()
	c.broken = c.broken || watcher.hasDisconnected() && !rejected
	c.closing = c.closing || c.broken
	if err != nil && !rejected {
		c.Enter(transport.PhaseLingering)
		c.discardRequest()
	}
}

// beginTransfer counts the connection among those with a long message under way. It reports whether there was room.
func (c *client) beginTransfer() bool {
	if c.MaxTransfers == 0 || c.transferring {
		return true
	}
	if c.transfers.Add(1) > int64(c.MaxTransfers) {
		c.transfers.Add(-1)
		return false
	}
	c.transferring = true
	return true
}

func (c *client) endTransfer() {
	if c.transferring {
		c.transferring = false
		c.transfers.Add(-1)
	}
}

// limitTransfers replaces the answer to a call whose response has only begun and for whose rest there is no room. The worker has
// run the call, so that it has failed.
func (c *client) limitTransfers(answer Answer) Answer {
	if answer.Verdict != Served || answer.Reply.Rest == nil || c.beginTransfer() {
		return answer
	}
	answer.Reply.Rest.Close(false)
	answer.Reply.Release()
	answer.Verdict, answer.Reply = Failed, nil
	return answer
}
