package main

import (
	_ "embed"
	"encoding/json"

	"bergamothollow.example/bergamothollow/platform"
)

//go:embed names.json
var encodedNames []byte

// api has the names of the platform's API that the Go files of this repository may not spell.
var api = decodeNames()

// headers are the names of the HTTP headers.
var headers = platform.Headers()

type apiNames struct {
	Objects  string `json:"objects"`
	Order    string `json:"order"`
	Resolve  string `json:"resolve"`
	Era      string `json:"era"`
	Instance string `json:"instance"`
	Model    string `json:"model"`
	More     string `json:"more"`
	Keys     string `json:"keys"`
	ColdRate string `json:"cold_rate"`
	ColdLeft string `json:"cold_left"`
}

func decodeNames() apiNames {
	var names apiNames
	if err := json.Unmarshal(encodedNames, &names); err != nil {
		panic(err)
	}
	return names
}
