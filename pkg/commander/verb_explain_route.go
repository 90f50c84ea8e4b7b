package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"lovagedeck/pkg/forecaster"
	"lovagedeck/pkg/printer"
	"lovagedeck/pkg/router"
)

const (
	// maxKeyBytes limits the size of a key file.
	maxKeyBytes = 64 << 10
	// standardInput is the name of a key file that stands for the standard input.
	standardInput = "-"
)

func newExplainRouteCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-route",
		Usage:     "explain where a request would go now, and why, without sending it",
		ArgsUsage: "HOST PATH",
		Description: "The entry instance that explains is asked through a control instance.\n\nExample:\n" +
			"  lovagedeck explain-route --instance 10.1.0.9:8106 --entry entry-3 h.example /p/x\n" +
			"  lovagedeck explain-route --key-file - --body-bytes 2000 h.example /p/x < key",
		Flags: append(newInstanceFlags(),
			&cli.StringFlag{Name: "entry", Usage: "`NAME` of the entry instance that explains; the first one by name without it"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the key of the tenant, or - for the standard input; only its digest is sent"},
			&cli.IntFlag{Name: "body-bytes", Usage: "`SIZE` of the body"},
			&cli.StringFlag{Name: "shard", Usage: "explain the shard of this `SERVICE` in full"}),
		Action: runExplainRoute,
	}
}

func runExplainRoute(_ context.Context, command *cli.Command) error {
	if command.Args().Len() != 2 {
		return usageErrorf("the host and the path of the request are required, such as h.example /p/x")
	}
	// The query string decides nothing, and may hold secrets.
	path, _, _ := strings.Cut(command.Args().Get(1), "?")
	question := forecaster.Question{
		Entry: command.String("entry"), Host: command.Args().Get(0), Path: path, BodyBytes: command.Int("body-bytes"), Shard: command.String("shard"),
	}
	if problem := question.Check(); problem != "" {
		return usageErrorf("%s", problem)
	}
	if file := command.String("key-file"); file != "" {
		key, err := readKey(file)
		if err != nil {
			return err
		}
		digest := router.DigestKey(key)
		question.KeyDigest = digest[:]
	}
	client, format, err := newClientAndFormat(command)
	if err != nil {
		return err
	}
	explanation, err := client.ExplainRoute(question)
	if err != nil {
		return err
	}
	return printExplanation(command.Root().Writer, format, explanation)
}

// readKey reads the only line of a file or of the standard input. Its errors never contain the key.
func readKey(file string) (string, error) {
	reader := io.Reader(os.Stdin)
	if file != standardInput {
		opened, err := os.Open(file)
		if err != nil {
			return "", usageErrorf("--key-file: %v", err)
		}
		defer func() { _ = opened.Close() }()
		reader = opened
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxKeyBytes+1))
	if err != nil {
		return "", usageErrorf("--key-file: %v", err)
	}
	key := strings.TrimSpace(string(content))
	switch {
	case key == "":
		return "", usageErrorf("--key-file: it is empty; it must hold the key of the tenant")
	case len(content) > maxKeyBytes || strings.ContainsAny(key, "\r\n"):
		return "", usageErrorf("--key-file: it must hold one line with the key of the tenant")
	}
	return key, nil
}

func printExplanation(w io.Writer, format printer.Format, explanation forecaster.Explanation) error {
	if format != printer.FormatText {
		return printer.Print(w, format, newCandidateSheet(explanation.Targets), explanation)
	}
	for _, line := range explanation.Lines() {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	for _, target := range explanation.Targets {
		for _, line := range target.Lines(explanation.Instance) {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return err
			}
		}
		if len(target.Candidates) == 0 {
			continue
		}
		if err := printer.Print(w, format, newCandidateSheet([]forecaster.Target{target}), nil); err != nil {
			return err
		}
	}
	return nil
}

func newCandidateSheet(targets []forecaster.Target) *printer.Sheet {
	sheet := printer.NewSheet(forecaster.Columns...)
	for _, target := range targets {
		for _, candidate := range target.Candidates {
			sheet.Add(target.Cells(candidate)...)
		}
	}
	return sheet
}
