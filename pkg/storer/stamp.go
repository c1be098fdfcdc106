package storer

import (
	"encoding/json"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Stamp identifies one write of one process; values carry it so that a lost answer can be resolved.
type Stamp struct {
	Writer      namer.Holder `json:"writer"`
	WriteNumber int64        `json:"write_number"`
}

// IsMine tells whether a stored value is the one that was to be written.
type IsMine func(stored json.RawMessage) bool

// MineIf returns the check that decodes a stored value and compares what identifies its write.
func MineIf[V any](same func(stored V) bool) IsMine {
	return func(stored json.RawMessage) bool {
		var v V
		return json.Unmarshal(stored, &v) == nil && same(v)
	}
}

// MineByStamp returns the check for values with the fields writer and write_number.
func MineByStamp(want Stamp) IsMine {
	return MineIf(func(stored Stamp) bool {
		return stored == want
	})
}
