package queue

import (
	"fmt"
	"strings"

	"ravendale/cluster/wire"
)

func modelMessageOf(id string) wire.Message {
	return wire.Message{ID: id, Key: "k", Ordered: true, Body: []byte(id), RetentionMs: 3_600_000}
}

func (w *modelWorld) put(id string) {
	e := w.edge("e")
	if e.deliveries[id] == nil {
		e.deliveries[id] = &modelDelivery{}
	}
	e.deliveries[id].requested = true
	put := &wire.Put{Epoch: e.epoch, Message: modelMessageOf(id), Dispatch: true}
	w.link(e.name, w.primary(e).name).ends[0].request(wire.MethodPut, put, "put "+id)
}

// applyDeliveryAction starts or finishes a message at a worker, or reports to the store that it is finished.
func (w *modelWorld) applyDeliveryAction(action string, e *modelEdge, id string) {
	delivery := e.deliveries[id]
	switch action {
	case "run":
		delivery.running = true
		w.checkRun(e, id)
	case "finish":
		delivery.running, delivery.finished = false, true
		w.messages[id].finished = true
	case "report":
		delivery.requested = true
		report := &wire.Report{Epoch: e.epoch, ID: id, Kind: wire.ReportDone, Signature: "s"}
		w.link(e.name, w.primary(e).name).ends[0].request(wire.MethodReport, report, "report "+id)
	}
}

func (w *modelWorld) checkRun(by *modelEdge, id string) {
	for _, e := range w.edges {
		if other := e.deliveries[id]; e != by && other != nil && other.running {
			w.violation("message %s runs at %s and at %s", id, e.name, by.name)
		}
	}
	for _, earlier := range modelMessages {
		if earlier == id {
			return
		}
		if m := w.messages[earlier]; m.accepted && !m.finished {
			w.violation("message %s runs before %s is finished", id, earlier)
		}
	}
}

// receiveFromStore handles a packet from a store at an edge.
func (w *modelWorld) receiveFromStore(e *modelEdge, l *modelLink, p packet) {
	if !p.answer {
		w.handleGrant(e, l, decode[wire.Grant](p.payload))
		return
	}
	fields := strings.Fields(p.call)
	switch fields[0] {
	case "claim":
		w.handleClaimReply(e, l, fields[1], decode[wire.ClaimReply](p.payload))
	case "put":
		w.handlePutReply(e, fields[1], decode[wire.PutReply](p.payload))
	case "report":
		delivery := e.deliveries[fields[1]]
		if delivery == nil {
			return
		}
		delivery.requested = false
		if decode[wire.ReportReply](p.payload).Code == wire.PutAccepted {
			w.messages[fields[1]].reported = true
			delete(e.deliveries, fields[1])
		}
	}
}

func (w *modelWorld) handleGrant(e *modelEdge, l *modelLink, grant *wire.Grant) {
	delivery := e.deliveries[grant.ID]
	if delivery == nil {
		if !grant.HasMessage {
			report := &wire.Report{Epoch: e.epoch, ID: grant.ID, Kind: wire.ReportReleased}
			l.ends[0].request(wire.MethodReport, report, "release "+grant.ID)
			return
		}
		delivery = &modelDelivery{}
		e.deliveries[grant.ID] = delivery
	}
	delivery.accepted, delivery.granted = true, true
}

func (w *modelWorld) handleClaimReply(e *modelEdge, l *modelLink, epoch string, reply *wire.ClaimReply) {
	if epoch != fmt.Sprint(e.epoch) {
		return
	}
	if reply.Code != wire.PutAccepted {
		if s := w.store(l.to); s.core.epoch() >= e.epoch { // otherwise the edge claims again when the store has the view
			w.claim(e, s)
		}
		return
	}
	for _, id := range reply.Unknown {
		if delivery := e.deliveries[id]; delivery != nil && delivery.accepted && !delivery.running && !delivery.finished {
			delete(e.deliveries, id)
		}
	}
}

func (w *modelWorld) handlePutReply(e *modelEdge, id string, reply *wire.PutReply) {
	delivery := e.deliveries[id]
	if delivery != nil {
		delivery.requested = false
	}
	if reply.Code != wire.PutAccepted {
		return
	}
	w.messages[id].accepted = true
	if delivery != nil {
		delivery.accepted = true
		delivery.granted = delivery.granted || reply.Granted
	}
}
