package main

import (
	"encoding/json"
	"os"
)

// names are the platform's names, read from a file.
type names struct {
	RequestID      string `json:"requestID"`
	Remaining      string `json:"remaining"`
	Expected       string `json:"expected"`
	Instance       string `json:"instance"`
	NotRun         string `json:"notRun"`
	Key            string `json:"key"`
	Receipt        string `json:"receipt"`
	Tenant         string `json:"tenant"`
	Tokens         string `json:"tokens"`
	Parts          string `json:"parts"`
	Model          string `json:"model"`
	Leaving        string `json:"leaving"`
	Objects        string `json:"objects"`
	Resolve        string `json:"resolve"`
	Ready          string `json:"ready"`
	Order          string `json:"order"`
	Settings       string `json:"settings"`
	RulesKind      string `json:"rulesKind"`
	TargetKind     string `json:"targetKind"`
	EvacuationKind string `json:"evacuationKind"`
	Keys           string `json:"keys"`
	ColdRate       string `json:"coldRate"`
	ColdRemaining  string `json:"coldRemaining"`
	More           string `json:"more"`
}

func readNames(file string) (names, error) {
	var n names
	text, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	return n, err
}
