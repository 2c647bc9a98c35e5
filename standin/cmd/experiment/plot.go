package main

import (
	"io"
	"os"
)

// writePlot writes a picture to a file.
func writePlot(path string, plot func(io.Writer) error) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := plot(out); err != nil {
		_ = out.Close() // the error of plot is returned instead
		return err
	}
	return out.Close()
}
