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

// Heartbeat takes a peer's heartbeat and answers with the own one and the peer's quotas.
func (h PeerHandler) Heartbeat(ctx context.Context, message messenger.Heartbeat) (messenger.Heartbeat, error) {
	reply := make(chan messenger.Heartbeat, 1)
	return ask(ctx, h.Controller, reply, beatHeard{
		beat:  message,
		reply: reply,
	})
}

// Reserve asks the allocator of a target for a one-off reservation.
func (h PeerHandler) Reserve(ctx context.Context, message messenger.ReserveRequest) (messenger.ReserveAnswer, error) {
	reply := make(chan messenger.ReserveAnswer, 1)
	return ask(ctx, h.Controller, reply, reserveHeard{
		request: message,
		reply:   reply,
	})
}

// Release gives a one-off reservation back.
func (h PeerHandler) Release(ctx context.Context, message messenger.ReleaseRequest) error {
	if !h.Controller.post(ctx, releaseHeard{
		request: message,
	}) {
		return ctx.Err()
	}
	return nil
}

// FetchBundle answers with the bundle in force.
func (h PeerHandler) FetchBundle(ctx context.Context, _ messenger.FetchBundleRequest) (roller.Signed, error) {
	reply := make(chan roller.Signed, 1)
	return ask(ctx, h.Controller, reply, bundleWanted{
		reply: reply,
	})
}

// FetchDeparture answers with the departures in force.
func (h PeerHandler) FetchDeparture(ctx context.Context, _ messenger.FetchDepartureRequest) (messenger.FetchDepartureAnswer, error) {
	reply := make(chan messenger.FetchDepartureAnswer, 1)
	return ask(ctx, h.Controller, reply, departureWanted{
		reply: reply,
	})
}

// Confirm answers which requests this instance does not know.
func (h PeerHandler) Confirm(ctx context.Context, message messenger.ConfirmRequest) (messenger.ConfirmAnswer, error) {
	reply := make(chan messenger.ConfirmAnswer, 1)
	return ask(ctx, h.Controller, reply, confirmHeard{
		request: message,
		reply:   reply,
	})
}
