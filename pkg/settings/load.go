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
	minSecretBytes = 16
	// maxDuration is the largest value of the settings "drain" and "grace", and minGrace the smallest one of "grace".
	maxDuration = 10 * time.Minute
	minGrace    = time.Second
	// minHeaderBytes and maxHeaderBytes are the bounds of the "headers" setting.
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	// minMemory and maxMemory are the bounds of the "memory" setting in MiB. The program itself takes about 25.
	minMemory = 64
	maxMemory = 1 << 20
	// minDescriptors and maxDescriptors are the bounds of the "files" setting.
	minDescriptors = 300
	maxDescriptors = 1 << 20
)

// loader collects all problems of a file instead of stopping at the first one.
type loader struct {
	file     string
	source   []byte
	settings Settings
	problems []Problem
}

// Load reads a settings file and returns the settings with all problems found in the file.
func Load(file string) (Settings, []Problem) {
	l := &loader{file: file, settings: Default()}
	source, err := os.ReadFile(file)
	if err != nil {
		l.addProblem(1, "file", err.Error())
		return l.settings, l.problems
	}
	l.source = source
	root, err := hujson.Parse(source)
	if err != nil {
		l.addProblem(lineOfError(err), "file", err.Error())
		return l.settings, l.problems
	}
	l.object("", root, l.rootFields())
	return l.settings, l.problems
}

// lineOfError extracts the line number from an error of the form "hujson: line N, column M: ...". It returns 1 if there is none.
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

func (l *loader) addProblem(line int, field, text string) {
	l.problems = append(l.problems, Problem{File: l.file, Line: line, Field: field, Text: text})
}

func (l *loader) line(v hujson.Value) int {
	return 1 + bytes.Count(l.source[:min(v.StartOffset, len(l.source))], []byte("\n"))
}

// fieldReader validates and stores the value of one field.
type fieldReader struct {
	required bool
	read     func(field string, v hujson.Value)
}

func (l *loader) rootFields() map[string]fieldReader {
	s := &l.settings
	return map[string]fieldReader{
		"vm":       {true, l.nonEmptyString(func(v string) { s.VM.ID = azuretiller.VMID(v) })},
		"zone":     {true, l.nonEmptyString(func(v string) { s.VM.Zone = azuretiller.Zone(v) })},
		"caller":   {true, l.address(func(v string) { s.VM.CallerAddress = v })},
		"peer":     {true, l.address(func(v string) { s.VM.PeerAddress = v })},
		"operator": {true, l.address(func(v string) { s.VM.OperatorAddress = v })},
		"secret":   {true, l.secretFile(func(v []byte) { s.FleetSecret = v })},
		"token":    {true, l.secretFile(func(v []byte) { s.OperatorToken = string(v) })},
		"seeds":    {false, l.addresses(func(v []string) { s.Seeds = v })},
		"drain":    {false, l.duration(0, func(v time.Duration) { s.DrainDuration = v })},
		"grace":    {false, l.duration(minGrace, func(v time.Duration) { s.GracePeriod = v })},
		"headers":  {false, l.number("bytes", minHeaderBytes, maxHeaderBytes, func(v int) { s.MaxHeaderBytes = v })},
		"memory":   {false, l.number("MiB", minMemory, maxMemory, func(v int) { s.MemoryBytes = int64(v) << 20 })},
		"files":    {false, l.number("descriptors", minDescriptors, maxDescriptors, func(v int) { s.Descriptors = v })},
		"platform": {true, func(field string, v hujson.Value) {
			l.object(field, v, map[string]fieldReader{
				"url":   {true, l.url(func(v string) { s.Platform.URL = v })},
				"token": {true, l.secretFile(func(v []byte) { s.Platform.Token = string(v) })},
			})
		}},
		"log": {false, func(field string, v hujson.Value) {
			l.object(field, v, map[string]fieldReader{
				"level": {false, l.level(func(v string) { s.Log.Level = v })},
			})
		}},
	}
}

// object reads the fields of an object and reports unknown, duplicate and missing fields.
func (l *loader) object(name string, v hujson.Value, fields map[string]fieldReader) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		l.addProblem(l.line(v), nameOrFile(name), "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		literal, _ := member.Name.Value.(hujson.Literal)
		key := literal.String()
		path := fieldPath(name, key)
		f, ok := fields[key]
		switch {
		case !ok:
			l.addProblem(l.line(member.Name), path, "unknown field")
		case seen[key]:
			l.addProblem(l.line(member.Name), path, "duplicate field")
		default:
			f.read(path, member.Value)
		}
		seen[key] = true
	}
	for _, key := range sortedKeys(fields) {
		if fields[key].required && !seen[key] {
			l.addProblem(l.line(v), fieldPath(name, key), "required field is missing")
		}
	}
}

func (l *loader) nonEmptyString(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		literal, ok := v.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' || literal.String() == "" {
			l.addProblem(l.line(v), field, "must be a non-empty string")
			return
		}
		set(literal.String())
	}
}

func (l *loader) address(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.nonEmptyString(func(text string) {
			if reason := addressProblem(text); reason != "" {
				l.addProblem(l.line(v), field, reason)
				return
			}
			set(text)
		})(field, v)
	}
}

func addressProblem(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return "must be an IP address and a port such as 10.0.0.1:8080"
	}
	if net.ParseIP(host) == nil {
		return "must have an IP address, not " + strconv.Quote(host)
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
			l.addProblem(l.line(v), field, "must be an array of addresses")
			return
		}
		var out []string
		for i, element := range array.Elements {
			l.address(func(text string) { out = append(out, text) })(field+"["+strconv.Itoa(i)+"]", element)
		}
		set(out)
	}
}

// duration reads a duration from the smallest one to maxDuration.
func (l *loader) duration(smallest time.Duration, set func(time.Duration)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.nonEmptyString(func(text string) {
			d, err := time.ParseDuration(text)
			if err != nil || d < smallest || d > maxDuration {
				l.addProblem(l.line(v), field, "must be a duration from "+smallest.String()+" to "+maxDuration.String())
				return
			}
			set(d)
		})(field, v)
	}
}

// number reads a number of the given unit.
func (l *loader) number(unit string, smallest, largest int, set func(int)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		literal, _ := v.Value.(hujson.Literal)
		n, err := strconv.Atoi(string(literal))
		if err != nil || n < smallest || n > largest {
			l.addProblem(l.line(v), field, "must be a number of "+unit+" from "+strconv.Itoa(smallest)+" to "+strconv.Itoa(largest))
			return
		}
		set(n)
	}
}

func (l *loader) url(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.nonEmptyString(func(text string) {
			u, err := url.Parse(text)
			if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
				l.addProblem(l.line(v), field, "must be a URL such as http://10.0.0.1:9000")
				return
			}
			set(strings.TrimSuffix(text, "/"))
		})(field, v)
	}
}

func (l *loader) level(set func(string)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.nonEmptyString(func(text string) {
			switch text {
			case "debug", "info", "warn", "error":
				set(text)
			default:
				l.addProblem(l.line(v), field, "must be debug, info, warn or error")
			}
		})(field, v)
	}
}

// secretFile reads a secret from a file. A relative path is resolved against the directory of the settings file.
func (l *loader) secretFile(set func([]byte)) func(string, hujson.Value) {
	return func(field string, v hujson.Value) {
		l.nonEmptyString(func(path string) {
			if !filepath.IsAbs(path) {
				path = filepath.Join(filepath.Dir(l.file), path)
			}
			data, err := os.ReadFile(path)
			if err != nil {
				l.addProblem(l.line(v), field, err.Error())
				return
			}
			data = bytes.TrimSpace(data)
			if len(data) < minSecretBytes {
				l.addProblem(l.line(v), field, "the file must contain at least "+strconv.Itoa(minSecretBytes)+" bytes")
				return
			}
			set(data)
		})(field, v)
	}
}
