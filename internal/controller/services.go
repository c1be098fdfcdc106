package controller

import (
	"fmt"
	"slices"
	"time"

	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// placeCall places a service call on the target with the fewest running calls.
func (t *traffic) placeCall(r *CallRequest, now time.Time) callAdmissionResult {
	if err := t.control.checkAccepting(now); err != nil {
		return callAdmissionResult{
			err: err,
		}
	}
	bundle := t.control.bundle
	if _, ok := bundle.Customers[r.Customer]; !ok {
		return callAdmissionResult{
			err: newRefusal(refuser.UnknownCustomer, fmt.Sprintf("customer %q is not in the bundle: check the header", r.Customer)),
		}
	}
	call, ok := bundle.Services[r.Service].Calls[r.Call]
	if !ok {
		return callAdmissionResult{
			err: newRefusal(refuser.UnknownService, fmt.Sprintf("service %q has no call %q in the bundle: check the path", r.Service, r.Call)),
		}
	}
	best, ok := t.leastLoadedTarget(r)
	if !ok {
		noTarget := newRefusal(refuser.NoTarget, "no target of the service is in service: try again later")
		noTarget.RetryAfter = time.Second
		return callAdmissionResult{
			err: noTarget,
		}
	}
	t.calls[best.ID]++
	return callAdmissionResult{
		placement: CallPlacement{
			Target:     best.ID,
			Address:    best.Address,
			Repeatable: call.Repeatable,
			Deadline:   now.Add(requestTimeout(r.Timeout, bundle.Rules)),
		},
	}
}

func (t *traffic) leastLoadedTarget(r *CallRequest) (tracker.Target, bool) {
	var best tracker.Target
	for _, target := range t.control.tracker.Targets() {
		if target.Kind != tracker.TargetService || target.Service != r.Service || t.control.tracker.TargetOutOfService(target.ID) {
			continue
		}
		if slices.Contains(r.Exclude, target.ID) {
			continue
		}
		if best.ID == "" || t.calls[target.ID] < t.calls[best.ID] {
			best = target
		}
	}
	return best, best.ID != ""
}
