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
	syntaxErrorPattern  = regexp.MustCompile(`line (\d+)`)
	unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]+)"`)
)

// checker collects the errors of a settings file and locates them in the file.
type checker struct {
	file    string
	content []byte
	tree    hujson.Value
	errors  []Error
}

func (c *checker) addError(key, reason string) { c.addErrorAt(c.lineOf(key), key, reason) }

func (c *checker) addErrorAt(line int, key, reason string) {
	c.errors = append(c.errors, Error{file: c.file, key: key, line: line, reason: reason})
}

func (c *checker) err() error {
	if len(c.errors) == 0 {
		return nil
	}
	return &ErrorList{errors: c.errors}
}

// lineOf returns the line of the key, or of the innermost enclosing key that is present in the file.
func (c *checker) lineOf(key string) int {
	for key != "" {
		if value := c.tree.Find("/" + key); value != nil {
			return c.lineAt(value.StartOffset)
		}
		separator := strings.LastIndex(key, "/")
		key = key[:max(0, separator)]
	}
	return 1
}

func (c *checker) lineAt(offset int) int {
	offset = min(offset, len(c.content))
	return 1 + bytes.Count(c.content[:offset], []byte("\n"))
}

// addDecodeError adds an error of the JSON decoder, with the key if a value has the wrong type or the key is unknown. The
// offset is where decoding stopped, in bytes.
func (c *checker) addDecodeError(err error, offset int64) {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		key := strings.ReplaceAll(wrongType.Field, ".", "/")
		c.addErrorAt(c.lineAt(int(wrongType.Offset)), key, fmt.Sprintf("a value of type %s is not allowed here", wrongType.Value))
		return
	}
	if match := unknownFieldPattern.FindStringSubmatch(err.Error()); match != nil {
		index := bytes.Index(c.content, []byte(strconv.Quote(match[1])))
		c.addErrorAt(c.lineAt(max(0, index)), match[1], "unknown key")
		return
	}
	c.addErrorAt(c.lineAt(int(offset)), "(syntax)", err.Error())
}

func syntaxErrorLine(err error) int {
	match := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	line, _ := strconv.Atoi(match[1])
	return line
}
