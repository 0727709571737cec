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

// hiddenValue is printed in place of a secret that is set.
const hiddenValue = "(hidden)"

// tagSecret is the struct tag of fields whose values are never printed.
const tagSecret = "secret"

// printFormat returns the value of the flag --print-settings, or "".
func printFormat(flags []*kong.Flag) string {
	for _, flag := range flags {
		if flag.Name == flagPrint {
			return flag.Target.String()
		}
	}
	return ""
}

// setting is the name and value of one flag, as --print-settings prints it.
type setting struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func printSettings(w io.Writer, flags []*kong.Flag, format string) {
	var list []setting
	for _, flag := range flags {
		if flag.Name == flagHelp || flag.Name == flagPrint {
			continue
		}
		list = append(list, setting{Name: flag.Name, Value: printedValue(flag)})
	}
	if format == telemetry.FormatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(list)
		return
	}
	for _, s := range list {
		fmt.Fprintf(w, "%s=%s\n", s.Name, s.Value)
	}
}

func printedValue(flag *kong.Flag) string {
	if flag.Tag.Has(tagSecret) && !flag.Target.IsZero() {
		return hiddenValue
	}
	return fmt.Sprint(flag.Target.Interface())
}
