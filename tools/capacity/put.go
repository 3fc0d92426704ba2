package main

import (
	"os"

	"github.com/spf13/cobra"

	"vetchhaven/tools/capacity/slopes"
)

// putCommand puts entries that the other commands printed into docs/capacity/slopes.toml.
func putCommand() *cobra.Command {
	var path string
	c := &cobra.Command{Use: "put FILE...", Short: "Put entries that --toml printed into the file of slopes; entries of the same name are replaced", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			var added []slopes.Slope
			for _, name := range files {
				all, err := slopes.Read(name)
				if err != nil {
					return err
				}
				added = append(added, all...)
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			out, err := slopes.Put(path, data, added...)
			if err != nil {
				return err
			}
			return os.WriteFile(path, out, 0o644)
		}}
	c.Flags().StringVar(&path, "slopes", "docs/capacity/slopes.toml", "the file of slopes")
	return c
}
