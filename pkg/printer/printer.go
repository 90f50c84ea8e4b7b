package printer

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

const (
	// FormatText is text in aligned columns with a header.
	FormatText Format = "text"
	// FormatJSON is indented JSON.
	FormatJSON Format = "json"
	// FormatCSV is comma-separated values (CSV) with a header.
	FormatCSV Format = "csv"
)

type (
	// Format is an output format.
	Format string

	// Sheet holds rows of text cells under named columns, for output as text or CSV.
	Sheet struct {
		columns []string
		rows    [][]string
	}
)

// NewSheet returns an empty sheet with the given columns.
func NewSheet(columns ...string) *Sheet { return &Sheet{columns: columns} }

// ParseFormat returns the format with the given name, or an error if there is none.
func ParseFormat(name string) (Format, error) {
	switch format := Format(name); format {
	case FormatText, FormatJSON, FormatCSV:
		return format, nil
	}
	return "", errors.Errorf("--output %q is not one of text, json, csv", name)
}

// Add appends a row; its cells are in the order of the columns.
func (s *Sheet) Add(cells ...string) { s.rows = append(s.rows, cells) }

// Print writes the sheet to w as text or CSV, or value as JSON.
func Print(w io.Writer, format Format, sheet *Sheet, value any) error {
	switch format {
	case FormatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "print JSON")
	case FormatCSV:
		writer := csv.NewWriter(w)
		return errors.Wrap(writer.WriteAll(append([][]string{sheet.columns}, sheet.rows...)), "print CSV")
	}
	return sheet.printText(w)
}

func (s *Sheet) printText(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(writer, strings.Join(s.columns, "\t")); err != nil {
		return errors.Wrap(err, "print table")
	}
	for _, row := range s.rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(writer.Flush(), "print table")
}
