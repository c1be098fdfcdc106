package messenger

import (
	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
	"bergamothollow.example/bergamothollow/pkg/tracker"
)

// The methods between instances.
const (
	MethodHeartbeat      = "heartbeat"
	MethodReserve        = "reserve"
	MethodRelease        = "release"
	MethodFetchBundle    = "fetch_bundle"
	MethodFetchDeparture = "fetch_departure"
	MethodConfirm        = "confirm"
)

// Heartbeat is exchanged once a second by each pair of instances of the cell: one calls, the other answers in kind.
type Heartbeat struct {
	Sender namer.Holder `json:"sender"`
	// State is left out while the sender serves.
	State tracker.State `json:"state,omitempty"`
	// DataCentre and the addresses never change within an incarnation and travel in some messages only.
	DataCentre       namer.DataCentre `json:"data_centre,omitempty"`
	CallerAddress    string           `json:"caller_address,omitempty"`
	PeerAddress      string           `json:"peer_address,omitempty"`
	BundleSequence   int64            `json:"bundle_sequence,omitempty"`
	DepartureVersion int64            `json:"departure_version,omitempty"`
	TableVersion     int64            `json:"table_version,omitempty"`
	// StoreAgeMS is the time since the sender last heard the store; negative means never.
	StoreAgeMS int64 `json:"store_age_ms,omitempty"`
	Number     int64 `json:"number"`
	// Heard has the last number heard from other processes; the receiver's own number is an echo.
	Heard   map[namer.Holder]int64 `json:"heard,omitempty"`
	Targets []TargetSummary        `json:"targets,omitempty"`
	Quotas  []Quota                `json:"quotas,omitempty"`
	Demand  []Demand               `json:"demand,omitempty"`
	// Adopted is the number of the last message of the receiver whose quotas the sender took; targets without demand
	// are not in use.
	Adopted int64 `json:"adopted,omitempty"`
	// Echo is the receiver's number that the quotas of a call count from; an answer's count from its call.
	Echo int64 `json:"echo,omitempty"`
	// Receiver is the process that sent the number in Echo.
	Receiver namer.Incarnation `json:"receiver,omitempty"`
}

// TargetSummary is the load of one target as its owner sees it.
type TargetSummary struct {
	Target       namer.Target `json:"target"`
	Epoch        namer.Epoch  `json:"epoch"`
	FreeTokens   int          `json:"free_tokens"`
	QueueTokens  int          `json:"queue_tokens,omitempty"`
	WarmPercent  int          `json:"warm_percent"`
	LongPrefills int          `json:"long_prefills,omitempty"`
	Boot         string       `json:"boot,omitempty"`
}

// Quota is what an owner allocates to the receiver.
type Quota struct {
	Target        namer.Target `json:"target"`
	Epoch         namer.Epoch  `json:"epoch"`
	Boot          string       `json:"boot,omitempty"`
	MemoryTokens  int          `json:"memory_tokens"`
	PrefillTokens int          `json:"prefill_tokens"`
	// ValidMS is left out if it is the usual validity.
	ValidMS int64 `json:"valid_ms,omitempty"`
}

// Demand tells an owner what the sender uses and would use.
type Demand struct {
	Target       namer.Target `json:"target"`
	UsedTokens   int          `json:"used_tokens,omitempty"`
	WantedTokens int          `json:"wanted_tokens,omitempty"`
}

// ReserveRequest asks an owner for a one-off reservation.
type ReserveRequest struct {
	Sender        namer.Holder  `json:"sender"`
	Target        namer.Target  `json:"target"`
	Epoch         namer.Epoch   `json:"epoch"`
	Request       namer.Request `json:"request_id"`
	Tokens        int           `json:"tokens"`
	PrefillTokens int           `json:"prefill_tokens"`
	WaitMS        int64         `json:"wait_ms"`
}

// ReserveAnswer grants a reservation or says why not.
type ReserveAnswer struct {
	Granted bool           `json:"granted"`
	Epoch   namer.Epoch    `json:"epoch"`
	Boot    string         `json:"boot,omitempty"`
	ValidMS int64          `json:"valid_ms,omitempty"`
	Reason  refuser.Reason `json:"reason,omitempty"`
}

// ReleaseRequest gives a reservation back.
type ReleaseRequest struct {
	Sender  namer.Holder  `json:"sender"`
	Target  namer.Target  `json:"target"`
	Request namer.Request `json:"request_id"`
}

// FetchBundleRequest asks a peer for its bundle in force.
type FetchBundleRequest struct {
	Sequence int64 `json:"sequence"`
}

// FetchDepartureRequest asks a peer for its departures.
type FetchDepartureRequest struct {
	Version int64 `json:"version"`
}

// FetchDepartureAnswer carries the departures at a version of the store.
type FetchDepartureAnswer struct {
	Version   int64             `json:"version"`
	Departure tracker.Departure `json:"departure"`
}

// ConfirmRequest asks a holder which of these requests it knows.
type ConfirmRequest struct {
	Sender   namer.Holder    `json:"sender"`
	Holder   namer.Holder    `json:"holder"`
	Target   namer.Target    `json:"target"`
	Requests []namer.Request `json:"requests"`
}

// ConfirmAnswer names the requests that the holder does not know.
type ConfirmAnswer struct {
	Unknown []namer.Request `json:"unknown"`
}
