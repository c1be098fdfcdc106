package versioner

import "cmp"

// Version is the version of an object, or of a whole store, within an era of the store.
//
// Number is the store's revision counter; it is 0 if the object doesn't exist. A restored store returns to an older number and assigns the
// following ones anew, so that numbers of different eras say nothing about each other. Era is one more than the store states, 0 if it states
// none: that of a store may begin at 0.
type Version struct {
	Era    int64 `json:"era,omitempty"`
	Number int64 `json:"version"`
}

// Of returns a version of a store that states no era.
func Of(number int64) Version {
	return Version{
		Number: number,
	}
}

// Compare returns a negative number, zero or a positive number if v is older than, equal to or newer than other. All versions of an era are
// newer than those of earlier eras.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Number, other.Number))
}

// After reports whether v is newer than other.
func (v Version) After(other Version) bool {
	return v.Compare(other) > 0
}

// Exists reports whether v is the version of an existing object.
func (v Version) Exists() bool {
	return v.Number != 0
}

// Latest returns the newer of two versions.
func Latest(a, b Version) Version {
	if b.After(a) {
		return b
	}
	return a
}
