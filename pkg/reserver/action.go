package reserver

import (
	"time"

	"bergamothollow.example/bergamothollow/pkg/namer"
	"bergamothollow.example/bergamothollow/pkg/refuser"
)

// Action is an output of the reserver.
type Action interface{ action() }

// Granted reports that the attempt holds memory on all its targets.
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

// Refused reports that the attempt got no memory and holds none.
type Refused struct {
	Request namer.Request
	Target  namer.Target
	Reason  refuser.Reason
}

// AskOwner sends a reserve call to the owner.
type AskOwner struct {
	Owner         namer.Holder
	Request       namer.Request
	Target        namer.Target
	Tokens        int
	PrefillTokens int
	Wait          time.Duration
}

// ReleaseAtOwner sends a release call to the owner; it is repeated until it is answered or the owner is gone.
type ReleaseAtOwner struct {
	Owner   namer.Holder
	Request namer.Request
	Target  namer.Target
}

// StartAllowed answers Start: the attempt may be sent to the target.
type StartAllowed struct {
	Request namer.Request
	Target  namer.Target
	Epoch   namer.Epoch
}

// StartDenied answers Start: no byte may be sent to the target. The attempt still holds its memory until Release, which
// must follow once the attempt has ended at the engines of its other targets.
type StartDenied struct {
	Request namer.Request
	Target  namer.Target
}

// TargetLost reports that a target restarted and that the attempt holds no memory there any more. An attempt on a group
// still holds memory on its other targets until Release.
type TargetLost struct {
	Request namer.Request
	Target  namer.Target
}

func (Granted) action()        {}
func (Refused) action()        {}
func (AskOwner) action()       {}
func (ReleaseAtOwner) action() {}
func (StartAllowed) action()   {}
func (StartDenied) action()    {}
func (TargetLost) action()     {}
