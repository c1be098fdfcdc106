package reserver

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Action is an output of the reserver.
type Action interface{ action() }

// Granted says that the attempt holds memory on all its targets.
type Granted struct {
	Request namer.Request
	Grants  []Grant
}

// Grant is the memory held on one target.
type Grant struct {
	Target namer.Target
	Epoch  namer.Epoch
	Boot   string
	Tokens int
}

// Refused says that the attempt holds nothing.
type Refused struct {
	Request namer.Request
	Target  namer.Target
	Reason  refuser.Reason
}

// AskOwner sends reserve to the owner.
type AskOwner struct {
	Owner         namer.Holder
	Request       namer.Request
	Target        namer.Target
	Tokens        int
	PrefillTokens int
	Wait          time.Duration
}

// ReleaseAtOwner sends release to the owner; it is repeated until answered or the owner is gone.
type ReleaseAtOwner struct {
	Owner   namer.Holder
	Request namer.Request
	Target  namer.Target
}

// StartAllowed answers Start.
type StartAllowed struct {
	Request namer.Request
	Target  namer.Target
	Epoch   namer.Epoch
}

// StartDenied answers Start: no byte may be sent to the target. The attempt still holds its memory; once its other
// parts are ended at their engines, Release gives it back.
type StartDenied struct {
	Request namer.Request
	Target  namer.Target
}

// Lost says that a target restarted under the attempt, which holds nothing there any more. An attempt of a group
// still holds its other targets until Release.
type Lost struct {
	Request namer.Request
	Target  namer.Target
}

func (Granted) action()        {}
func (Refused) action()        {}
func (AskOwner) action()       {}
func (ReleaseAtOwner) action() {}
func (StartAllowed) action()   {}
func (StartDenied) action()    {}
func (Lost) action()           {}
