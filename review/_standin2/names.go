package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names, which no Go file outside its adapter spells.
var names = func() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()
