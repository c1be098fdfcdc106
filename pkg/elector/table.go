package elector

import "bergamothollow.example/bergamothollow/pkg/namer"

// Table is the ownership table of a cell, kept as one object of the store.
type Table struct {
	Writer      namer.Holder            `json:"writer"`
	WriteNumber int64                   `json:"write_number"`
	Entries     map[namer.Target]*Entry `json:"entries"`
}

// Entry names who may allocate the memory of one target.
type Entry struct {
	Owner     namer.Holder  `json:"owner"`
	Successor namer.Holder  `json:"successor"`
	Previous  *namer.Holder `json:"previous,omitempty"`
	Epoch     namer.Epoch   `json:"epoch"`
}
