package main

import (
	"encoding/json"
	"os"
)

// names holds the names of the platform's pages, which are read from a file.
type names struct {
	Attempt      string
	Deadline     string
	Target       string
	Signature    string
	NotRun       string
	Load         string
	Instance     string
	Warmup       string
	Era          string
	LastEvent    string
	FirstAttempt string
	Tokens       string
	Parts        string
	Settings     string
	Range        string
	Watch        string
	Config       string
	Evacuate     string
	Runners      string
	ColdField    string
}

func readNames(path string) (names, error) {
	var read names
	data, err := os.ReadFile(path)
	if err != nil {
		return read, err
	}
	return read, json.Unmarshal(data, &read)
}
