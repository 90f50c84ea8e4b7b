package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/operator"
	"lovagedeck/pkg/printer"
	"lovagedeck/pkg/tabulator"
)

func newTableCommand() *cli.Command {
	return &cli.Command{
		Name:        "table",
		Usage:       "read and edit the table of weights and limits",
		Description: "Example:\n  lovagedeck table get > t.csv\n  lovagedeck table put t.csv\n  lovagedeck table set customs-desk-01 ub-a slots=3\n  lovagedeck table history",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print the table as comma-separated values", Flags: newInstanceFlags(),
				Description: "Example:\n  lovagedeck table get > t.csv", Action: runTableGet,
			},
			{
				Name: "put", Usage: "upload the rows of a file that differ from the table", ArgsUsage: "FILE (- for standard input)",
				Flags:       append(newChangeFlags(), &cli.BoolFlag{Name: "dry-run", Usage: "only show the differences"}),
				Description: "Example:\n  lovagedeck table put t.csv", Action: runTablePut,
			},
			{
				Name: "set", Usage: "change cells of one row", ArgsUsage: "SERVICE DATA-CENTRE COLUMN=VALUE...", Flags: newChangeFlags(),
				Description: "Example:\n  lovagedeck table set customs-desk-01 ub-a slots=3 weight=50", Action: runTableSet,
			},
			{
				Name: "history", Usage: "print the accepted and refused changes", Flags: newInstanceFlags(),
				Description: "Example:\n  lovagedeck table history", Action: runTableHistory,
			},
		},
	}
}

func runTableGet(_ context.Context, command *cli.Command) error {
	client, format, err := newClientAndFormat(command)
	if err != nil {
		return err
	}
	table, err := client.Table()
	if err != nil {
		return err
	}
	if format == printer.FormatJSON {
		return printer.Print(command.Root().Writer, format, nil, table)
	}
	return tabulator.WriteCSV(command.Root().Writer, table.Rows)
}

func runTablePut(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 1 {
		return usageErrorf("exactly one file is required, or - for standard input")
	}
	rows, err := readRows(command.Args().First())
	if err != nil {
		return err
	}
	client, table, err := fetchTable(command)
	if err != nil {
		return err
	}
	changed := printDifferences(command.Root().Writer, table, rows)
	if len(changed) == 0 {
		_, err := fmt.Fprintln(command.Root().Writer, "no row differs from the table")
		return err
	}
	if command.Bool("dry-run") {
		return nil
	}
	return putRows(command, client, changed)
}

func putRows(command *cli.Command, client *operator.Client, rows []tabulator.RowFields) error {
	return submitChange(command, client, func(changeID, operatorName string) (operator.ChangeResult, error) {
		return client.ChangeRows(tabulator.ChangeRows{ChangeID: changeID, Operator: operatorName, Rows: rows})
	})
}

func readRows(path string) ([]tabulator.RowFields, error) {
	var reader io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		defer func() { _ = file.Close() }()
		reader = file
	}
	rows, cellErrors, err := tabulator.ReadCSV(reader)
	if err != nil {
		return nil, err
	}
	if len(cellErrors) == 0 {
		return rows, nil
	}
	lines := make([]string, 0, len(cellErrors))
	for _, cellError := range cellErrors {
		lines = append(lines, "  "+cellError.Error())
	}
	return nil, errors.Errorf("%d invalid cells in %s, nothing was changed:\n%s", len(cellErrors), path, strings.Join(lines, "\n"))
}

// printDifferences prints the cells in which rows differ from the table and returns the rows that differ.
func printDifferences(w io.Writer, table operator.Table, rows []tabulator.RowFields) []tabulator.RowFields {
	currentCells := map[tabulator.Key][]string{}
	for _, row := range table.Rows {
		currentCells[tabulator.Key{Service: row.Service, DataCentre: row.DataCentre}] = row.Cells()
	}
	var changed []tabulator.RowFields
	for _, row := range rows {
		key := tabulator.Key{Service: row.Service, DataCentre: row.DataCentre}
		cells, current := row.Cells(), currentCells[key]
		differences := diffCells(cells, current)
		if len(differences) == 0 {
			continue
		}
		changed = append(changed, row)
		_, _ = fmt.Fprintf(w, "%s (rests on revision %d): %s\n", key, row.Revision, strings.Join(differences, ", "))
	}
	return changed
}

func diffCells(cells, current []string) []string {
	columns := tabulator.Columns()
	if current == nil {
		return []string{"new row"}
	}
	var differences []string
	for i, column := range columns[:len(columns)-1] {
		if cells[i] != current[i] {
			differences = append(differences, fmt.Sprintf("%s %s -> %s", column, current[i], cells[i]))
		}
	}
	return differences
}

func runTableSet(_ context.Context, command *cli.Command) error {
	args := command.Args().Slice()
	if len(args) < 3 {
		return usageErrorf("a service, a data centre and at least one COLUMN=VALUE are required")
	}
	client, table, err := fetchTable(command)
	if err != nil {
		return err
	}
	row, err := editRow(table, args)
	if err != nil {
		return err
	}
	changed := printDifferences(command.Root().Writer, table, []tabulator.RowFields{row})
	if len(changed) == 0 {
		_, err := fmt.Fprintln(command.Root().Writer, "the row is so already")
		return err
	}
	return putRows(command, client, changed)
}

// editRow returns the row of the service args[0] in the data centre args[1] with the cells set as in the remaining
// arguments, each COLUMN=VALUE.
func editRow(table operator.Table, args []string) (tabulator.RowFields, error) {
	for _, row := range table.Rows {
		if row.Service != args[0] || row.DataCentre != args[1] {
			continue
		}
		cells := row.Cells()
		for _, assignment := range args[2:] {
			if err := setCell(cells, assignment); err != nil {
				return row, err
			}
		}
		return parseCells(cells)
	}
	return tabulator.RowFields{}, errors.Errorf("no row %s/%s; add it with `lovagedeck table put`", args[0], args[1])
}

func setCell(cells []string, assignment string) error {
	column, value, ok := strings.Cut(assignment, "=")
	if !ok {
		return usageErrorf("%q is not COLUMN=VALUE", assignment)
	}
	for i, name := range tabulator.Columns()[2:9] {
		if name == column {
			cells[i+2] = value
			return nil
		}
	}
	return usageErrorf("no column %q; the columns are %s", column, strings.Join(tabulator.Columns()[2:9], ", "))
}

func parseCells(cells []string) (tabulator.RowFields, error) {
	text := strings.Join(tabulator.Columns(), ",") + "\n" + strings.Join(cells, ",") + "\n"
	rows, cellErrors, err := tabulator.ReadCSV(strings.NewReader(text))
	if err != nil {
		return tabulator.RowFields{}, err
	}
	if len(cellErrors) > 0 {
		return tabulator.RowFields{}, cellErrors[0]
	}
	return rows[0], nil
}

func runTableHistory(_ context.Context, command *cli.Command) error {
	client, format, err := newClientAndFormat(command)
	if err != nil {
		return err
	}
	history, err := client.History()
	if err != nil {
		return err
	}
	sheet := printer.NewSheet("revision", "verdict", "operator", "change-id", "what")
	for _, entry := range history.Entries {
		sheet.Add(fmt.Sprint(entry.Revision), string(entry.Verdict), entry.Operator, entry.ChangeID, entry.What)
	}
	return printer.Print(command.Root().Writer, format, sheet, history.Entries)
}
