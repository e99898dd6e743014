package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the headers, fields and paths of the users' platform that the stand-ins speak.
var names = readNames()

func readNames() map[string]string {
	var out map[string]string
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err) // the file is part of the program
	}
	return out
}

// Headers of the users' pages.
var (
	headerAttempt   = names["attempt"]
	headerInstance  = names["instance"]
	headerThis      = names["this"]
	headerSignature = names["signature"]
	headerNotRun    = names["not_run"]
	headerLoad      = names["load"]
	headerDeadline  = names["deadline"]
	headerBackup    = names["backup"]
	headerFrom      = names["from"]
	headerLeaving   = names["leaving"]
	headerLast      = names["last"]
	headerResumes   = names["resumes"]
)
