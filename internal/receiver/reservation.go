package receiver

import (
	"context"
	"errors"
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
	// renewRetryInterval is the pause after a renewal without an answer, so that more than one is attempted before the lease ends.
	renewRetryInterval = 300 * time.Millisecond
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
	// Check has no effect: the engine's answer shows that the run that was asked still exists.
	Check func(r Reservation) forwarder.Outgoing
	// Reference returns the entry for the reservation in the helpers header.
	Reference func(r Reservation) string
}

// Reservation is a lease of memory at one engine for a part of a prompt. One without tokens only names an engine to check.
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
			ID:      reservationID(r, strconv.Itoa(i)),
			Engine:  h.Engine,
			Address: h.Address,
			Tokens:  h.Tokens,
		})
	}
	return list
}

// reservationID returns an id that differs for each placement of a request, so that orders that are carried out late end with it.
func reservationID(r *request, part string) string {
	return string(r.id) + "-" + strconv.Itoa(r.placements) + "-" + part
}

// firstEngine names the first engine of a placement, to check that it still runs.
func firstEngine(r *request, p scheduler.Placement) Reservation {
	return Reservation{
		ID:      reservationID(r, "first"),
		Engine:  p.Engine,
		Address: p.Address,
	}
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

// watchReservations renews the reservations of an attempt until the context ends, and checks that the attempt's first engine still
// runs. It calls lost with a ReservationError if one of the engines is lost: the prompt can't be finished then, and the memory at the
// others would be held in vain. A silent connection doesn't show that the first engine has crashed.
func (s *Server) watchReservations(ctx context.Context, list []Reservation, first Reservation, lost context.CancelCauseFunc) {
	if len(list) == 0 {
		return
	}
	watch := func(r Reservation, order forwarder.Outgoing) {
		if err := s.repeatUntilLost(ctx, r, order); err != nil {
			s.options.Log.Warn().Err(err).Str("reservation", r.ID).Msg("receiver: engine of a prompt lost")
			lost(err)
		}
	}
	for _, r := range list {
		go watch(r, s.options.Orders.Reserve(r, leaseTime))
	}
	go watch(first, s.options.Orders.Check(first))
}

// repeatUntilLost repeats an order until the context ends, and then returns nil. It returns the last error if the engine answers
// that it has lost the reservation, or if it hasn't answered for the time of a lease.
func (s *Server) repeatUntilLost(ctx context.Context, r Reservation, order forwarder.Outgoing) error {
	clock := s.options.Clock
	leaseEnd := clock.Now().Add(leaseTime)
	wait := renewInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(wait):
		}
		sent := clock.Now()
		err := s.order(ctx, r, order)
		switch {
		case ctx.Err() != nil:
			return nil
		case reservationGone(err, r.Tokens > 0):
			return err
		case answered(err):
			leaseEnd = sent.Add(leaseTime)
			wait = renewInterval
		case !clock.Now().Before(leaseEnd):
			return err
		default:
			s.options.Log.Info().Err(err).Str("reservation", r.ID).Msg("receiver: no answer to an order")
			wait = min(renewRetryInterval, leaseEnd.Sub(clock.Now()))
		}
	}
}

// answered reports whether an engine has answered an order, even if it refused it.
func answered(err error) bool {
	var refused *ReservationError
	return err == nil || errors.As(err, &refused) && refused.Status != 0
}

// reservationGone reports whether the answer to an order shows that the engine is another run, or, for a reservation of memory, that
// the memory has been given to others.
func reservationGone(err error, memory bool) bool {
	var refused *ReservationError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Status {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict:
		return memory
	}
	return false
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
	s.hear(namer.Request(r.ID), s.run(r.Engine), answer)
	if answer.Status != http.StatusOK {
		return &ReservationError{
			Engine: r.Engine,
			Status: answer.Status,
		}
	}
	return nil
}
