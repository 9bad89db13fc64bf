package settings

import (
	"bytes"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/azuretiller/azuretiller"
)

const (
	minSecret = 16
	maxDrain  = 10 * time.Minute
	// minHeaders and maxHeaders bound the head of a request, in bytes.
	minHeaders = 4 << 10
	maxHeaders = 1 << 20
)

// loader collects all problems of a file rather than stopping at the first.
type loader struct {
	file     string
	source   []byte
	settings Settings
	problems []Problem
}

// Load reads a settings file and returns all that is wrong with it.
func Load(file string) (Settings, []Problem) {
	l := &loader{file: file, settings: Default()}
	source, err := os.ReadFile(file)
	if err != nil {
		l.add(1, "file", err.Error())
		return l.settings, l.problems
	}
	l.source = source
	root, err := hujson.Parse(source)
	if err != nil {
		l.add(lineOfError(err), "file", err.Error())
		return l.settings, l.problems
	}
	l.object("", root, l.rootFields())
	return l.settings, l.problems
}

// lineOfError finds the line in messages of the form "hujson: line N, column M: ...".
func lineOfError(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 1
	}
	digits, _, _ := strings.Cut(rest, ",")
	line, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return line
}

func (l *loader) add(line int, field, text string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: line, Field: field, Text: text})
}

func (l *loader) line(v hujson.Value) int {
	return 1 + bytes.Count(l.source[:min(v.StartOffset, len(l.source))], []byte("\n"))
}

// reader takes the value of one field.
type reader struct {
	required bool
	read     func(field string, v hujson.Value)
}

func (l *loader) rootFields() map[string]reader {
	s := &l.settings
	return map[string]reader{
		"vm":       {true, l.text(func(v string) { s.VM.ID = azuretiller.VMID(v) })},
		"zone":     {true, l.text(func(v string) { s.VM.Zone = azuretiller.Zone(v) })},
		"caller":   {true, l.address(func(v string) { s.VM.Caller = v })},
		"peer":     {true, l.address(func(v string) { s.VM.Peer = v })},
		"operator": {true, l.address(func(v string) { s.VM.Operator = v })},
		"secret":   {true, l.secretFile(func(v []byte) { s.Secret = v })},
		"token":    {true, l.secretFile(func(v []byte) { s.Token = string(v) })},
		"seeds":    {false, l.addresses(func(v []string) { s.Seeds = v })},
		"drain":    {false, l.span(func(v time.Duration) { s.Drain = v })},
		"headers":  {false, l.bytes(func(v int) { s.Headers = v })},
		"platform": {true, func(field string, v hujson.Value) {
			l.object(field, v, map[string]reader{
				"url":   {true, l.url(func(v string) { s.Platform.URL = v })},
				"token": {true, l.secretFile(func(v []byte) { s.Platform.Token = string(v) })},
			})
		}},
		"log": {false, func(field string, v hujson.Value) {
			l.object(field, v, map[string]reader{
				"level": {false, l.level(func(v string) { s.Log.Level = v })},
			})
		}},
	}
}

// object reads the fields of an object and complains about unknown, duplicate and missing ones.
func (l *loader) object(name string, v hujson.Value, fields map[string]reader) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		l.add(l.line(v), orFile(name), "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		literal, _ := member.Name.Value.(hujson.Literal)
		key := literal.String()
		full := join(name, key)
		f, ok := fields[key]
		switch {
		case !ok:
			l.add(l.line(member.Name), full, "unknown field")
		case seen[key]:
			l.add(l.line(member.Name), full, "given twice")
		default:
			f.read(full, member.Value)
		}
		seen[key] = true
	}
	for _, key := range sortedKeys(fields) {
		if fields[key].required && !seen[key] {
			l.add(l.line(v), join(name, key), "is missing")
		}
	}
}

func (l *loader) text(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		literal, ok := v.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' || literal.String() == "" {
			l.add(l.line(v), field, "must be a string that is not empty")
			return
		}
		set(literal.String())
	}
}

func (l *loader) address(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.text(func(text string) {
			if reason := badAddress(text); reason != "" {
				l.add(l.line(v), field, reason)
				return
			}
			set(text)
		})(field, v)
	}
}

func badAddress(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return "must be an IP number and a port such as 10.0.0.1:8080"
	}
	if net.ParseIP(host) == nil {
		return "must have an IP number, not " + strconv.Quote(host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "must have a port from 1 to 65535, not " + strconv.Quote(port)
	}
	return ""
}

func (l *loader) addresses(set func([]string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			l.add(l.line(v), field, "must be a list of addresses")
			return
		}
		var out []string
		for i, element := range array.Elements {
			l.address(func(text string) { out = append(out, text) })(field+"["+strconv.Itoa(i)+"]", element)
		}
		set(out)
	}
}

func (l *loader) span(set func(time.Duration)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.text(func(text string) {
			d, err := time.ParseDuration(text)
			if err != nil || d < 0 || d > maxDrain {
				l.add(l.line(v), field, "must be a duration from 0s to "+maxDrain.String())
				return
			}
			set(d)
		})(field, v)
	}
}

func (l *loader) bytes(set func(int)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		literal, _ := v.Value.(hujson.Literal)
		n, err := strconv.Atoi(string(literal))
		if err != nil || n < minHeaders || n > maxHeaders {
			l.add(l.line(v), field, "must be a number of bytes from "+strconv.Itoa(minHeaders)+" to "+strconv.Itoa(maxHeaders))
			return
		}
		set(n)
	}
}

func (l *loader) url(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.text(func(text string) {
			u, err := url.Parse(text)
			if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
				l.add(l.line(v), field, "must be a URL such as http://10.0.0.1:9000")
				return
			}
			set(strings.TrimSuffix(text, "/"))
		})(field, v)
	}
}

func (l *loader) level(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.text(func(text string) {
			switch text {
			case "debug", "info", "warn", "error":
				set(text)
			default:
				l.add(l.line(v), field, "must be debug, info, warn or error")
			}
		})(field, v)
	}
}

// secretFile reads a file whose path is relative to that of the settings.
func (l *loader) secretFile(set func([]byte)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.text(func(path string) {
			if !filepath.IsAbs(path) {
				path = filepath.Join(filepath.Dir(l.file), path)
			}
			data, err := os.ReadFile(path)
			if err != nil {
				l.add(l.line(v), field, err.Error())
				return
			}
			data = bytes.TrimSpace(data)
			if len(data) < minSecret {
				l.add(l.line(v), field, "the file must hold at least "+strconv.Itoa(minSecret)+" bytes")
				return
			}
			set(data)
		})(field, v)
	}
}
