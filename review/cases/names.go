package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the headers, fields and paths of the users' platform that the stand-ins speak.
var names = readNames()

type platformNames struct {
	Attempt     string `json:"attempt"`
	Deadline    string `json:"deadline"`
	Expect      string `json:"expect"`
	Signature   string `json:"signature"`
	NotRun      string `json:"not_run"`
	Instance    string `json:"instance"`
	Load        string `json:"load"`
	Model       string `json:"model"`
	TokenCounts string `json:"token_counts"`
	PrefixHash  string `json:"prefix_hash"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	Keys        string `json:"keys"`
	PeerPorts   string `json:"peer_ports"`
	Config      string `json:"config"`
	Resolve     string `json:"resolve"`
	Ready       string `json:"ready"`
}

func readNames() platformNames {
	var out platformNames
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err) // the file is part of the program
	}
	return out
}
