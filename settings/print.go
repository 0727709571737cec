package settings

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/sesameswitch/sesameswitch/telemetry"
)

// Names of flags that are not settings.
const (
	flagHelp  = "help"
	flagPrint = "print-settings"
)

// hidden replaces the value of a secret that is set.
const hidden = "(hidden)"

// tagSecret marks a field whose value is never printed.
const tagSecret = "secret"

func printFormat(flags []*kong.Flag) string {
	for _, flag := range flags {
		if flag.Name == flagPrint {
			return flag.Target.String()
		}
	}
	return ""
}

// setting is one line of --print-settings.
type setting struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func printSettings(w io.Writer, flags []*kong.Flag, format string) {
	var all []setting
	for _, flag := range flags {
		if flag.Name == flagHelp || flag.Name == flagPrint {
			continue
		}
		all = append(all, setting{Name: flag.Name, Value: shownValue(flag)})
	}
	if format == telemetry.FormatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(all)
		return
	}
	for _, s := range all {
		fmt.Fprintf(w, "%s=%s\n", s.Name, s.Value)
	}
}

func shownValue(flag *kong.Flag) string {
	if flag.Tag.Has(tagSecret) && !flag.Target.IsZero() {
		return hidden
	}
	return fmt.Sprint(flag.Target.Interface())
}
