package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

var (
	syntaxLine   = regexp.MustCompile(`line (\d+)`)
	unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)
)

// checker gathers faults and finds their lines in the file.
type checker struct {
	file    string
	content []byte
	tree    hujson.Value
	faults  []Fault
}

func (c *checker) add(key, reason string) { c.addAt(c.line(key), key, reason) }

func (c *checker) addAt(line int, key, reason string) {
	c.faults = append(c.faults, Fault{file: c.file, key: key, line: line, reason: reason})
}

func (c *checker) error() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &FaultsError{faults: c.faults}
}

// line returns the line of the key, or of the nearest object around it that stands in the file.
func (c *checker) line(key string) int {
	for key != "" {
		if value := c.tree.Find("/" + key); value != nil {
			return c.lineAt(value.StartOffset)
		}
		cut := strings.LastIndex(key, "/")
		key = key[:max(0, cut)]
	}
	return 1
}

func (c *checker) lineAt(offset int) int {
	offset = min(offset, len(c.content))
	return 1 + bytes.Count(c.content[:offset], []byte("\n"))
}

// addDecode names the key of a value of the wrong type or of a key that is not known.
func (c *checker) addDecode(err error, offset int64) {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		key := strings.ReplaceAll(wrongType.Field, ".", "/")
		c.addAt(c.lineAt(int(wrongType.Offset)), key, fmt.Sprintf("a %s cannot stand here", wrongType.Value))
		return
	}
	if match := unknownField.FindStringSubmatch(err.Error()); match != nil {
		at := bytes.Index(c.content, []byte(strconv.Quote(match[1])))
		c.addAt(c.lineAt(max(0, at)), match[1], "the key is not known")
		return
	}
	c.addAt(c.lineAt(int(offset)), "(syntax)", err.Error())
}

func lineOfError(err error) int {
	match := syntaxLine.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	line, _ := strconv.Atoi(match[1])
	return line
}
