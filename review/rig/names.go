package main

import (
	_ "embed" // for the names of the wire
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names holds the names of the wire, by their use here.
var names = mustParseNames()

func mustParseNames() (parsed map[string]string) {
	if err := json.Unmarshal(namesJSON, &parsed); err != nil {
		panic(err)
	}
	return parsed
}
