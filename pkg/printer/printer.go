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
	// FormatText is a table with aligned columns.
	FormatText Format = "text"
	// FormatJSON is JSON with indentation.
	FormatJSON Format = "json"
	// FormatCSV is comma-separated values with a header.
	FormatCSV Format = "csv"
)

type (
	// Format is how data is printed.
	Format string

	// Sheet is data in rows and columns.
	Sheet struct {
		columns []string
		rows    [][]string
	}
)

// NewSheet returns an empty sheet with the given columns.
func NewSheet(columns ...string) *Sheet { return &Sheet{columns: columns} }

// ParseFormat returns the format with the given name.
func ParseFormat(name string) (Format, error) {
	switch format := Format(name); format {
	case FormatText, FormatJSON, FormatCSV:
		return format, nil
	}
	return "", errors.Errorf("--output %q is not one of text, json, csv", name)
}

// Add appends a row.
func (s *Sheet) Add(cells ...string) { s.rows = append(s.rows, cells) }

// Print writes the sheet as text or values, or value as JSON.
func Print(w io.Writer, format Format, sheet *Sheet, value any) error {
	switch format {
	case FormatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "print JSON")
	case FormatCSV:
		writer := csv.NewWriter(w)
		return errors.Wrap(writer.WriteAll(append([][]string{sheet.columns}, sheet.rows...)), "print values")
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
