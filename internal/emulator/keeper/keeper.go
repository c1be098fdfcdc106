package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamothollow.example/bergamothollow/pkg/storer"
	"bergamothollow.example/bergamothollow/pkg/versioner"
)

// errFault is the cause of every injected failure.
var errFault = errors.New("fault injected by the test")

type key struct {
	kind storer.Kind
	name string
}

// Keeper keeps objects in memory; it implements storer.Store without watches.
type Keeper struct {
	mu      sync.Mutex
	objects map[key]storer.Object
	version versioner.Version
	faults  Faults
}

// Faults are the faults injected into the next calls.
type Faults struct {
	// Down makes every call fail; DownAfterWrites, if above 0, is the number of further writes after which Down is set.
	Down            bool
	DownAfterWrites int
	// LoseAnswers is the number of next writes that take effect but fail as if their response were lost.
	LoseAnswers int
	// LoseWrites is the number of next writes that fail as if lost on the way, without taking effect.
	LoseWrites int
	// Throttle is the number of next writes that are refused with a ThrottledError.
	Throttle int
	// BeforeWrite runs once before the next write, to simulate a concurrent operator.
	BeforeWrite func()
}

var _ storer.Store = (*Keeper)(nil)

// New returns an empty store.
func New() *Keeper {
	return &Keeper{
		objects: map[key]storer.Object{},
	}
}

// SetFaults replaces the injected faults.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Put writes a value unconditionally and returns its version.
func (k *Keeper) Put(kind storer.Kind, name string, value any) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set(kind, name, encoded).Number
}

// Get reads one object.
func (k *Keeper) Get(_ context.Context, kind storer.Kind, name string) (storer.Object, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Down {
		return storer.Object{}, unavailable()
	}
	object, ok := k.objects[key{kind, name}]
	if !ok {
		return storer.Object{}, &storer.NotFoundError{
			Kind: kind,
			Name: name,
			Era:  k.version.Era,
		}
	}
	return object, nil
}

// Copy is the content of a store at one moment.
type Copy struct {
	objects map[key]storer.Object
	number  int64
}

// Copy returns a copy of the content, from which the store may be restored.
func (k *Keeper) Copy() Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Copy{
		objects: maps.Clone(k.objects),
		number:  k.version.Number,
	}
}

// Restore replaces the content by that of a copy and begins a new era, in which versions continue from the copy's.
func (k *Keeper) Restore(from Copy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version.Era++
	k.version.Number = from.number
	k.objects = map[key]storer.Object{}
	for name, object := range from.objects {
		object.Era = k.version.Era
		k.objects[name] = object
	}
}

// Create writes the value if no object has the name, and returns its version.
func (k *Keeper) Create(_ context.Context, kind storer.Kind, name string, value json.RawMessage) (versioner.Version, error) {
	return k.write(kind, name, versioner.Version{}, func() versioner.Version {
		return k.set(kind, name, value)
	})
}

// Update writes the value if the object still has the version, and returns the new version.
func (k *Keeper) Update(_ context.Context, kind storer.Kind, name string, version versioner.Version, value json.RawMessage) (versioner.Version, error) {
	return k.write(kind, name, version, func() versioner.Version {
		return k.set(kind, name, value)
	})
}

// Delete removes the object if it still has the version.
func (k *Keeper) Delete(_ context.Context, kind storer.Kind, name string, version versioner.Version) error {
	_, err := k.write(kind, name, version, func() versioner.Version {
		delete(k.objects, key{kind, name})
		k.version.Number++
		return k.version
	})
	return err
}

// List reads a page of objects whose names start with prefix and are greater than after.
func (k *Keeper) List(_ context.Context, kind storer.Kind, prefix, after string, limit int) (storer.Listing, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Down {
		return storer.Listing{}, unavailable()
	}
	listing := storer.Listing{
		Version: k.version,
	}
	for _, name := range k.names(kind) {
		if strings.HasPrefix(name, prefix) && name > after && len(listing.Items) < limit {
			listing.Items = append(listing.Items, k.objects[key{kind, name}])
		}
	}
	return listing, nil
}

// Watch is not supported.
func (k *Keeper) Watch(context.Context, storer.Kind, versioner.Version, time.Duration) (storer.Changes, error) {
	return storer.Changes{}, errors.ErrUnsupported
}

// Instances returns an empty list.
func (k *Keeper) Instances(context.Context) ([]storer.ListedInstance, error) {
	return nil, nil
}

func (k *Keeper) names(kind storer.Kind) []string {
	var names []string
	for id := range maps.Keys(k.objects) {
		if id.kind == kind {
			names = append(names, id.name)
		}
	}
	slices.Sort(names)
	return names
}

func (k *Keeper) set(kind storer.Kind, name string, value json.RawMessage) versioner.Version {
	k.version.Number++
	k.objects[key{kind, name}] = storer.Object{
		Kind:    kind,
		Name:    name,
		Version: k.version,
		Value:   slices.Clone(value),
	}
	return k.version
}

func (k *Keeper) write(kind storer.Kind, name string, version versioner.Version, apply func() versioner.Version) (versioner.Version, error) {
	k.runBeforeWrite()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.faultBeforeWrite(); err != nil {
		return versioner.Version{}, err
	}
	if current := k.objects[key{kind, name}]; current.Version != version {
		return versioner.Version{}, &storer.ConflictError{
			Kind:    kind,
			Name:    name,
			Current: current,
		}
	}
	written := apply()
	return written, k.faultAfterWrite()
}

// runBeforeWrite runs Faults.BeforeWrite once, without holding the lock.
func (k *Keeper) runBeforeWrite() {
	k.mu.Lock()
	other := k.faults.BeforeWrite
	k.faults.BeforeWrite = nil
	k.mu.Unlock()
	if other != nil {
		other()
	}
}

func (k *Keeper) faultBeforeWrite() error {
	f := &k.faults
	switch {
	case f.Down:
		return unavailable()
	case f.Throttle > 0:
		f.Throttle--
		return &storer.ThrottledError{}
	case f.LoseWrites > 0:
		f.LoseWrites--
		k.countWrite()
		return unavailable()
	}
	return nil
}

func (k *Keeper) faultAfterWrite() error {
	k.countWrite()
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		return unavailable()
	}
	return nil
}

// countWrite counts a write towards DownAfterWrites.
func (k *Keeper) countWrite() {
	if k.faults.DownAfterWrites > 0 {
		k.faults.DownAfterWrites--
		k.faults.Down = k.faults.DownAfterWrites == 0
	}
}

func unavailable() error {
	return &storer.UnavailableError{
		Sent:  true,
		Cause: errFault,
	}
}
