// Package jsonlist reads lists to which other programs write as well. One entry that is no JSON, or
// that is nested more deeply than encoding/json reads, must not hide the others.
package jsonlist

import (
	"encoding/json"
	"unicode/utf8"
)

// entryDepth is the brackets around an entry of a document: the document and its list.
const entryDepth = "{["

// entryScanner finds the entries of a document whose bytes may be no JSON.
type entryScanner struct {
	open            []byte // brackets that are open
	inText, escaped bool
}

// ReplaceUnreadable returns a document with null in place of each entry that is no JSON. It returns
// nothing if the brackets or quotes of an entry do not match. An entry may take most of the document, so
// that the result takes memory as it grows.
func ReplaceUnreadable(document []byte) []byte {
	var s entryScanner
	var out []byte
	kept := 0 // the part of the document that is in out
	for i, c := range document {
		if s.inEntries() && (c == ',' || c == ']') {
			out = append(out, readableOrNull(document[kept:i])...)
			kept = i
		}
		s.next(c)
		if s.inEntries() && (c == ',' || c == '[') {
			out = append(out, document[kept:i+1]...)
			kept = i + 1
		}
	}
	if s.inText || len(s.open) > 0 {
		return nil
	}
	return append(out, document[kept:]...)
}

func readableOrNull(entry []byte) []byte {
	if json.Valid(entry) && utf8.Valid(entry) {
		return entry
	}
	return []byte("null")
}

// inEntries reports whether the scanner is in the list and in no entry.
func (s *entryScanner) inEntries() bool {
	return !s.inText && len(s.open) == len(entryDepth) && string(s.open) == entryDepth
}

func (s *entryScanner) next(c byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inText:
		s.escaped, s.inText = c == '\\', c != '"'
	case c == '"':
		s.inText = true
	case c == '{' || c == '[':
		s.open = append(s.open, c)
	case c == '}' || c == ']':
		// The codes of a bracket and its counterpart differ by two.
		if last := len(s.open) - 1; last >= 0 && s.open[last] == c-2 {
			s.open = s.open[:last]
		}
	}
}
