package settings

import (
	"os"

	"gopkg.in/ini.v1"
)

const (
	unknownSection = "a section of the example file"
	unknownKey     = "a key of the example file"
	noDefault      = "a value; it has no default"
	marginAllowed  = "less than half of LeaseTerm"
)

// Read returns the settings in a file; it fails with ReadError, or with InvalidError and every fault.
func Read(path string) (Settings, error) { return read(path, Parse) }

func read[S any](path string, parse func(string, []byte) (S, error)) (S, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		var none S
		return none, &ReadError{Path: path, Cause: err}
	}
	return parse(path, content)
}

// Parse returns the settings in the content of a file.
func Parse(path string, content []byte) (Settings, error) {
	s, faults, err := decode(path, content, keys())
	if err != nil {
		return Settings{}, err
	}
	if len(faults) == 0 && s.Control.LeaseMargin*2 >= s.Control.LeaseTerm {
		faults = append(faults, Fault{
			Section: "Control",
			Key:     "LeaseMargin",
			Value:   s.Control.LeaseMargin.String(),
			Allowed: marginAllowed,
		})
	}
	if len(faults) > 0 {
		return Settings{}, &InvalidError{Path: path, Faults: faults}
	}
	return s, nil
}

// decode reads every key of a file and returns all faults.
func decode[S any](path string, content []byte, keys []key[S]) (S, []Fault, error) {
	var s S
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, content)
	if err != nil {
		return s, nil, &ReadError{Path: path, Cause: err}
	}
	faults := unknown(file, keys)
	for _, k := range keys {
		faults = append(faults, k.read(file, &s)...)
	}
	return s, faults, nil
}

// Default returns settings with every default in place and nothing required.
func Default() Settings {
	var s Settings
	for _, k := range keys() {
		if !k.required {
			k.set(&s, k.example)
		}
	}
	return s
}

func (k key[S]) read(file *ini.File, s *S) []Fault {
	section := file.Section(k.section)
	if !section.HasKey(k.name) {
		if k.required {
			return []Fault{k.fault("", noDefault+": "+k.allowed)}
		}
		k.set(s, k.example)
		return nil
	}
	values := section.Key(k.name).ValueWithShadows()
	if len(values) > 1 {
		return []Fault{k.fault(values[1], "one value only")}
	}
	value := section.Key(k.name).String()
	if !k.set(s, value) {
		return []Fault{k.fault(value, k.allowed)}
	}
	return nil
}

func (k key[S]) fault(value, allowed string) Fault {
	return Fault{
		Section: k.section,
		Key:     k.name,
		Value:   value,
		Allowed: allowed,
	}
}

// unknown returns a fault for each section and key that no setting has.
func unknown[S any](file *ini.File, keys []key[S]) []Fault {
	known := make(map[string]map[string]bool)
	for _, k := range keys {
		if known[k.section] == nil {
			known[k.section] = make(map[string]bool)
		}
		known[k.section][k.name] = true
	}
	var faults []Fault
	for _, section := range file.Sections() {
		names, ok := known[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, Fault{
				Section: section.Name(),
				Allowed: unknownSection,
			})
			continue
		}
		for _, name := range section.KeyStrings() {
			if !names[name] {
				faults = append(faults, Fault{
					Section: section.Name(),
					Key:     name,
					Value:   section.Key(name).String(),
					Allowed: unknownKey,
				})
			}
		}
	}
	return faults
}
