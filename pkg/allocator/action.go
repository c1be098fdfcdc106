package allocator

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Action is an output of the allocator.
type Action interface{ action() }

// GrantQuota answers QuotaAsked; the quota is the limit of the recipient's total use of the target.
type GrantQuota struct {
	To            namer.Holder
	Target        namer.Target
	Epoch         namer.Epoch
	Boot          string
	MemoryTokens  int
	PrefillTokens int
	Valid         time.Duration
}

// GrantReservation answers ReserveAsked; the request must start within Valid after the recipient asked for it.
type GrantReservation struct {
	To      namer.Holder
	Target  namer.Target
	Request namer.Request
	Epoch   namer.Epoch
	Boot    string
	Valid   time.Duration
}

// DenyReservation answers ReserveAsked.
type DenyReservation struct {
	To      namer.Holder
	Target  namer.Target
	Request namer.Request
	Reason  refuser.Reason
}

// CancelReason is the reason for which a request is cancelled at the engine.
type CancelReason string

// The reasons to cancel at the engine.
const (
	HolderGone      CancelReason = "holder_gone"
	UnknownToHolder CancelReason = "not_known"
)

// CancelRequest cancels a request at the engine.
type CancelRequest struct {
	Target  namer.Target
	Request namer.Request
	Reason  CancelReason
}

// ConfirmRequests asks a holder which of these requests it knows, because it reports less use than the engine lists.
type ConfirmRequests struct {
	Holder   namer.Holder
	Target   namer.Target
	Requests []namer.Request
}

func (GrantQuota) action()       {}
func (GrantReservation) action() {}
func (DenyReservation) action()  {}
func (CancelRequest) action()    {}
func (ConfirmRequests) action()  {}
