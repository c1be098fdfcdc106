package receiver

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/internal/forwarder"
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/scheduler"
)

const (
	// holdTime is how long an engine keeps reserved memory after the last order. It bounds the memory that a crash of this
	// instance leaves behind; users allow 4 s.
	holdTime = 3 * time.Second
	// renewInterval lets one order be lost without losing the memory.
	renewInterval = 1200 * time.Millisecond
	// orderTimeout bounds one order: an engine answers within a round trip.
	orderTimeout = 500 * time.Millisecond
	// releaseTries bounds the orders to give memory back; it lapses after holdTime in any case.
	releaseTries = 3
)

// Orders builds the orders that reserve memory at engines.
type Orders struct {
	Reserve func(r Reservation, hold time.Duration) forwarder.Outgoing
	Release func(r Reservation) forwarder.Outgoing
	// Reference names the reservation in the list of helpers.
	Reference func(r Reservation) string
}

// Reservation is memory at one engine for a part of a prompt.
type Reservation struct {
	ID      string
	Engine  namer.Target
	Address string
	Tokens  int
}

// ReservationError means that an engine did not reserve memory.
type ReservationError struct {
	Engine namer.Target
	Status int
	Cause  error
}

// Error names the engine.
func (e *ReservationError) Error() string {
	return fmt.Sprintf("engine %s did not reserve memory (status %d): %v", e.Engine, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ReservationError) Unwrap() error {
	return e.Cause
}

// reservations returns what a placement needs reserved.
func reservations(r *request, p scheduler.Placement) []Reservation {
	var list []Reservation
	for i, h := range p.Helpers {
		if h.Tokens == 0 {
			continue
		}
		list = append(list, Reservation{
			ID:      string(r.id) + "-" + strconv.Itoa(r.placements) + "-" + strconv.Itoa(i),
			Engine:  h.Engine,
			Address: h.Address,
			Tokens:  h.Tokens,
		})
	}
	return list
}

// helpers lists the engines that read parts, with the reservations first: they are filled in turn.
func (s *Server) helpers(p scheduler.Placement, reserved []Reservation) string {
	list := make([]string, 0, len(p.Helpers))
	for _, r := range reserved {
		list = append(list, s.options.Orders.Reference(r))
	}
	for _, h := range p.Helpers {
		if h.Tokens == 0 {
			list = append(list, h.Address)
		}
	}
	return strings.Join(list, ",")
}

// reserve reserves memory at all engines, or fails with a ReservationError after giving back what it got.
func (s *Server) reserve(ctx context.Context, list []Reservation) error {
	errors := make([]error, len(list))
	var all sync.WaitGroup
	for i, r := range list {
		all.Go(func() {
			errors[i] = s.order(ctx, r, s.options.Orders.Reserve(r, holdTime))
		})
	}
	all.Wait()
	for _, err := range errors {
		if err != nil {
			s.release(list)
			return err
		}
	}
	return nil
}

// renew keeps memory reserved until the context ends.
func (s *Server) renew(ctx context.Context, list []Reservation) {
	for len(list) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-s.options.Clock.After(renewInterval):
		}
		for _, r := range list {
			if err := s.order(ctx, r, s.options.Orders.Reserve(r, holdTime)); err != nil && ctx.Err() == nil {
				s.options.Log.Warn().Err(err).Str("reservation", r.ID).Msg("receiver: reservation not renewed")
			}
		}
	}
}

// release gives memory back, in the background.
func (s *Server) release(list []Reservation) {
	for _, r := range list {
		go func() {
			var err error
			for range releaseTries {
				if err = s.order(context.Background(), r, s.options.Orders.Release(r)); err == nil {
					return
				}
				<-s.options.Clock.After(orderTimeout)
			}
			s.options.Log.Warn().Err(err).Str("reservation", r.ID).Msg("receiver: reservation left to lapse")
		}()
	}
}

func (s *Server) order(ctx context.Context, r Reservation, o forwarder.Outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := forwarder.Send(ctx, o)
	if err != nil {
		return &ReservationError{
			Engine: r.Engine,
			Cause:  err,
		}
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return &ReservationError{
			Engine: r.Engine,
			Status: answer.Status,
		}
	}
	return nil
}
