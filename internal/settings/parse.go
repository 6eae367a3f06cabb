package settings

import (
	"os"

	"gopkg.in/ini.v1"
)

const (
	unknownSection     = "a section of the example file"
	unknownKey         = "a key of the example file"
	requiredValue      = "a value, as the setting is required"
	leaseMarginAllowed = "a value below half of LeaseTerm"
)

// Read returns the settings in a file, or a ReadError, or an InvalidError that lists every fault.
func Read(path string) (Settings, error) { return read(path, Parse) }

func read[S any](path string, parse func(string, []byte) (S, error)) (S, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		var zero S
		return zero, &ReadError{Path: path, Cause: err}
	}
	return parse(path, content)
}

// Parse returns the settings in the content of a file, whose path appears in errors only.
func Parse(path string, content []byte) (Settings, error) {
	s, faults, err := decode(path, content, entryKeys())
	if err != nil {
		return Settings{}, err
	}
	if len(faults) == 0 && s.Control.LeaseMargin*2 >= s.Control.LeaseTerm {
		faults = append(faults, Fault{
			Section: "Control",
			Key:     "LeaseMargin",
			Value:   s.Control.LeaseMargin.String(),
			Allowed: leaseMarginAllowed,
		})
	}
	if len(faults) > 0 {
		return Settings{}, &InvalidError{Path: path, Faults: faults}
	}
	return s, nil
}

// decode parses the content of a file, sets every key and returns all faults.
func decode[S any](path string, content []byte, keys []key[S]) (S, []Fault, error) {
	var s S
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, content)
	if err != nil {
		return s, nil, &ReadError{Path: path, Cause: err}
	}
	faults := unknownFaults(file, keys)
	for _, k := range keys {
		faults = append(faults, k.apply(file, &s)...)
	}
	return s, faults, nil
}

// Default returns the default settings, in which required settings are empty.
func Default() Settings {
	var s Settings
	for _, k := range entryKeys() {
		if !k.required {
			k.set(&s, k.example)
		}
	}
	return s
}

// apply sets k from its value in the file, or to its default, and returns the faults.
func (k key[S]) apply(file *ini.File, s *S) []Fault {
	section := file.Section(k.section)
	if !section.HasKey(k.name) {
		if k.required {
			return []Fault{k.fault("", requiredValue+": "+k.allowed)}
		}
		k.set(s, k.example)
		return nil
	}
	values := section.Key(k.name).ValueWithShadows()
	if len(values) > 1 {
		return []Fault{k.fault(values[1], "a single value")}
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

// unknownFaults returns a fault for each section and key that keys does not contain.
func unknownFaults[S any](file *ini.File, keys []key[S]) []Fault {
	namesBySection := make(map[string]map[string]bool)
	for _, k := range keys {
		if namesBySection[k.section] == nil {
			namesBySection[k.section] = make(map[string]bool)
		}
		namesBySection[k.section][k.name] = true
	}
	var faults []Fault
	for _, section := range file.Sections() {
		names, known := namesBySection[section.Name()]
		if !known && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
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
