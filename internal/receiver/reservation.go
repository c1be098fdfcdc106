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
	// leaseTime is how long an engine keeps reserved memory after the last order. It bounds how long memory stays reserved after a
	// crash of this instance; users allow 4 s.
	leaseTime = 3 * time.Second
	// renewInterval is short enough that the lease survives one lost order.
	renewInterval = 1200 * time.Millisecond
	// orderTimeout bounds one order: an engine answers within a round trip.
	orderTimeout = 500 * time.Millisecond
	// releaseAttempts bounds the attempts to release memory; the lease ends after leaseTime in any case.
	releaseAttempts = 3
)

// Orders builds the requests that reserve and release memory at engines.
type Orders struct {
	// Reserve also renews a reservation; lease is how long it holds without renewal.
	Reserve func(r Reservation, lease time.Duration) forwarder.Outgoing
	Release func(r Reservation) forwarder.Outgoing
	// Reference returns the entry for the reservation in the helpers header.
	Reference func(r Reservation) string
}

// Reservation is a lease of memory at one engine for a part of a prompt.
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

// Error returns the message with the engine and the status.
func (e *ReservationError) Error() string {
	return fmt.Sprintf("engine %s did not reserve memory (status %d): %v", e.Engine, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ReservationError) Unwrap() error {
	return e.Cause
}

// reservations returns the reservations that a placement needs.
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

// helpers returns the value of the helpers header. Reservations come first, since engines fill the helpers in order.
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

// reserve reserves memory at all engines concurrently; if one fails, it releases all and returns a ReservationError.
func (s *Server) reserve(ctx context.Context, list []Reservation) error {
	failures := make([]error, len(list))
	var group sync.WaitGroup
	for i, r := range list {
		group.Go(func() {
			failures[i] = s.order(ctx, r, s.options.Orders.Reserve(r, leaseTime))
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			s.release(list)
			return err
		}
	}
	return nil
}

// renew renews the reservations until the context ends.
func (s *Server) renew(ctx context.Context, list []Reservation) {
	for len(list) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-s.options.Clock.After(renewInterval):
		}
		for _, r := range list {
			if err := s.order(ctx, r, s.options.Orders.Reserve(r, leaseTime)); err != nil && ctx.Err() == nil {
				s.options.Log.Warn().Err(err).Str("reservation", r.ID).Msg("receiver: renewing a reservation failed")
			}
		}
	}
}

// release releases the reservations in the background.
func (s *Server) release(list []Reservation) {
	for _, r := range list {
		go func() {
			var err error
			for range releaseAttempts {
				if err = s.order(context.Background(), r, s.options.Orders.Release(r)); err == nil {
					return
				}
				<-s.options.Clock.After(orderTimeout)
			}
			s.options.Log.Warn().Err(err).Str("reservation", r.ID).Msg("receiver: releasing a reservation failed, it expires with its lease")
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
