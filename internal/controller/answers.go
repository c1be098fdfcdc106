package controller

import (
	"context"

	"bergamothollow.example/bergamothollow/internal/messenger"
	"bergamothollow.example/bergamothollow/pkg/roller"
)

// PeerHandler answers the messages of peers from the control state.
type PeerHandler struct {
	Controller *Controller
}

// Heartbeat handles a peer's heartbeat and replies with this instance's own heartbeat, including quotas for the peer.
func (h PeerHandler) Heartbeat(ctx context.Context, message messenger.Heartbeat) (messenger.Heartbeat, error) {
	reply := make(chan messenger.Heartbeat, 1)
	return ask(ctx, h.Controller, reply, heartbeatReceived{
		heartbeat: message,
		reply:     reply,
	})
}

// Reserve asks the target's allocator for a one-off reservation and waits for its decision.
func (h PeerHandler) Reserve(ctx context.Context, message messenger.ReserveRequest) (messenger.ReserveAnswer, error) {
	reply := make(chan messenger.ReserveAnswer, 1)
	return ask(ctx, h.Controller, reply, reserveReceived{
		request: message,
		reply:   reply,
	})
}

// Release releases a one-off reservation.
func (h PeerHandler) Release(ctx context.Context, message messenger.ReleaseRequest) error {
	if !h.Controller.post(ctx, releaseReceived{
		request: message,
	}) {
		return ctx.Err()
	}
	return nil
}

// FetchBundle returns the bundle in force.
func (h PeerHandler) FetchBundle(ctx context.Context, _ messenger.FetchBundleRequest) (roller.Signed, error) {
	reply := make(chan roller.Signed, 1)
	return ask(ctx, h.Controller, reply, bundleRequested{
		reply: reply,
	})
}

// FetchDeparture returns the departures in force.
func (h PeerHandler) FetchDeparture(ctx context.Context, _ messenger.FetchDepartureRequest) (messenger.FetchDepartureAnswer, error) {
	reply := make(chan messenger.FetchDepartureAnswer, 1)
	return ask(ctx, h.Controller, reply, departuresRequested{
		reply: reply,
	})
}

// Confirm returns the requests of the message that this instance does not know.
func (h PeerHandler) Confirm(ctx context.Context, message messenger.ConfirmRequest) (messenger.ConfirmAnswer, error) {
	reply := make(chan messenger.ConfirmAnswer, 1)
	return ask(ctx, h.Controller, reply, confirmReceived{
		request: message,
		reply:   reply,
	})
}
