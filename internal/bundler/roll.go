package bundler

import (
	"context"
	"errors"
	"fmt"

	"bergamothollow.example/bergamothollow/internal/changer"
	"bergamothollow.example/bergamothollow/internal/factory"
	"bergamothollow.example/bergamothollow/pkg/roller"
	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// maxPaths is the maximum number of differing paths that an error lists.
const maxPaths = 10

// Roll is the rollout of a signed bundle.
type Roll struct {
	Store     storer.Store
	Changer   changer.Changer
	Signed    roller.Signed
	Operator  string
	IfVersion int64
}

// Run stores the bundle, sets the pointer to it unless the pointer has changed meanwhile, and returns the pointer's version.
func (r Roll) Run(ctx context.Context) (int64, error) {
	pointer, err := ReadPointer(ctx, r.Store)
	if err != nil {
		return 0, err
	}
	if pointer.Value.Sequence == r.Signed.Sequence && pointer.Value.Digest == r.Signed.Digest {
		return pointer.Version, nil
	}
	stale := r.IfVersion != AnyVersion && r.IfVersion != pointer.Version
	if stale || pointer.Value.Sequence >= r.Signed.Sequence {
		return 0, r.pointerConflict(ctx, pointer, r.Signed.Sequence-1, false)
	}
	if err := r.store(ctx); err != nil {
		return 0, err
	}
	version, err := r.Changer.Apply(ctx, changer.Write{
		Kind:    storer.KindBundlePointer,
		Name:    storer.CurrentName,
		Version: pointer.Version,
		Value: roller.Pointer{
			Sequence: r.Signed.Sequence,
			Digest:   r.Signed.Digest,
			RolledBy: r.Operator,
		},
	})
	return version, r.explainPointer(ctx, err, pointer.Value.Sequence)
}

// store creates the bundle's object; it succeeds if the store already has the same bundle, such as from an earlier run.
func (r Roll) store(ctx context.Context) error {
	_, err := r.Changer.Apply(ctx, changer.Write{
		Kind:  storer.KindBundle,
		Name:  ObjectName(r.Signed.Sequence),
		Value: r.Signed,
	})
	var conflict *changer.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	other, decodeErr := factory.Decode[roller.Signed](conflict.Current)
	if decodeErr != nil {
		return err
	}
	if other.Value.Digest == r.Signed.Digest {
		return nil
	}
	conflict.By = other.Value.Author
	conflict.Changes = r.changes(ctx, r.Signed.Sequence-1, other.Value)
	conflict.Next = nextStep
	return conflict
}

// nextStep tells the operator how to resolve a conflict.
const nextStep = "create the bundle again with `bergamothollow bundle create`, which takes the next sequence, and have it approved"

// explainPointer adds the other operator's changes to a conflict on the pointer; other errors are returned as they are.
func (r Roll) explainPointer(ctx context.Context, err error, before int64) error {
	var conflict *changer.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	pointer, decodeErr := factory.Decode[roller.Pointer](conflict.Current)
	if decodeErr != nil {
		return err
	}
	return r.pointerConflict(ctx, pointer, before, conflict.AnswerLost)
}

// pointerConflict returns the conflict with the bundle that the pointer names now; it lists the differences from the bundle
// with sequence before.
func (r Roll) pointerConflict(ctx context.Context, pointer factory.Entry[roller.Pointer], before int64, answerLost bool) error {
	conflict := &changer.ConflictError{
		Kind: storer.KindBundlePointer,
		Name: storer.CurrentName,
		Current: storer.Object{
			Version: versioner.Of(pointer.Version),
		},
		By:         pointer.Value.RolledBy,
		AnswerLost: answerLost,
		Next:       nextStep,
	}
	signed, err := ReadStored(ctx, r.Store, pointer.Value.Sequence)
	if err != nil {
		conflict.Changes = []string{fmt.Sprintf("sequence %d is in force, but its bundle cannot be read: %v", pointer.Value.Sequence, err)}
		return conflict
	}
	conflict.Changes = r.changes(ctx, before, signed)
	return conflict
}

// changes describes a bundle: its sequence, author and approver, and the paths that differ from the bundle with sequence before.
func (r Roll) changes(ctx context.Context, before int64, signed roller.Signed) []string {
	changes := []string{fmt.Sprintf("bundle %d by %s, approved by %s", signed.Sequence, signed.Author, signed.Approver)}
	after, err := DecodeContent(signed)
	if err != nil || before < 1 {
		return changes
	}
	base, err := ReadStoredContent(ctx, r.Store, before)
	if err != nil {
		return changes
	}
	differing := roller.Diff(base, after)
	for i, change := range differing {
		if i == maxPaths {
			return append(changes, fmt.Sprintf("and %d more paths", len(differing)-maxPaths))
		}
		changes = append(changes, fmt.Sprintf("%s: %q to %q", change.Path, change.Old, change.New))
	}
	return changes
}
