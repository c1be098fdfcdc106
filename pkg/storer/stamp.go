package storer

import (
	"encoding/json"

	"bergamothollow.example/bergamothollow/pkg/namer"
)

// Stamp identifies one write of one process. It is part of the stored value, so that a writer whose response was lost can
// recognise its own write.
type Stamp struct {
	Writer      namer.Holder `json:"writer"`
	WriteNumber int64        `json:"write_number"`
}

// IsOwnWrite reports whether a stored value is the one that the caller tried to write.
type IsOwnWrite func(stored json.RawMessage) bool

// OwnWriteIf returns an IsOwnWrite that decodes the stored value and passes it to same. A value that cannot be decoded
// is another writer's.
func OwnWriteIf[V any](same func(stored V) bool) IsOwnWrite {
	return func(stored json.RawMessage) bool {
		var v V
		return json.Unmarshal(stored, &v) == nil && same(v)
	}
}

// OwnWriteByStamp returns an IsOwnWrite for values with the fields writer and write_number.
func OwnWriteByStamp(want Stamp) IsOwnWrite {
	return OwnWriteIf(func(stored Stamp) bool {
		return stored == want
	})
}
