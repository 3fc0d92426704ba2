package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"vetchhaven/tools/capacity/page"
)

// pageCommand prints docs/CAPACITY.md with its tables, or writes them into it.
func pageCommand() *cobra.Command {
	var write bool
	var size, slopes, path string
	c := &cobra.Command{Use: "page", Short: "The tables of docs/CAPACITY.md, from the size aimed at and what was measured", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			tables, err := page.Load(size, slopes)
			if err != nil {
				return err
			}
			was, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			text, err := page.Insert(path, string(was), tables)
			switch {
			case err != nil:
				return err
			case !write:
				fmt.Print(text)
				return nil
			case text == string(was):
				return nil
			}
			return os.WriteFile(path, []byte(text), 0o644)
		}}
	c.Flags().BoolVar(&write, "write", false, "write the tables into the page")
	c.Flags().StringVar(&size, "size", "docs/capacity/size.toml", "the size aimed at, and the bounds")
	c.Flags().StringVar(&slopes, "slopes", "docs/capacity/slopes.toml", "what was measured")
	c.Flags().StringVar(&path, "page", "docs/CAPACITY.md", "the page")
	return c
}
