package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"vetchhaven/tools/capacity/page"
)

// pageCommand prints docs/CAPACITY.md and docs/capacity/tables.md with their tables, or writes the tables into them.
func pageCommand() *cobra.Command {
	var write bool
	var size, slopes, path, fullPath string
	c := &cobra.Command{Use: "page", Short: "The tables of docs/CAPACITY.md, from the target size and the measurements", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			brief, full, err := page.Load(size, slopes)
			if err != nil {
				return err
			}
			for _, p := range []struct {
				path   string
				tables map[string]string
			}{{path, brief}, {fullPath, full}} {
				was, err := os.ReadFile(p.path)
				if err != nil {
					return err
				}
				text, err := page.Insert(p.path, string(was), p.tables)
				switch {
				case err != nil:
					return err
				case !write:
					fmt.Print(text)
				case text != string(was):
					if err := os.WriteFile(p.path, []byte(text), 0o644); err != nil {
						return err
					}
				}
			}
			return nil
		}}
	c.Flags().BoolVar(&write, "write", false, "write the tables into the pages")
	c.Flags().StringVar(&size, "size", "docs/capacity/size.toml", "the file of the target size and the bounds")
	c.Flags().StringVar(&slopes, "slopes", "docs/capacity/slopes.toml", "the file of measurements")
	c.Flags().StringVar(&path, "page", "docs/CAPACITY.md", "the page")
	c.Flags().StringVar(&fullPath, "full", "docs/capacity/tables.md", "the page with every entry")
	return c
}
