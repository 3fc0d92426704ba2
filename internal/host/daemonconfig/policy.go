package daemonconfig

import (
	"maps"
	"slices"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// Text returns the file's own text, without the policy.
func (c *Config) Text() []byte { return c.text }

// HeldParts returns the parts of the policy that a daemon with this configuration holds: those of its instances'
// sources.
func (c *Config) HeldParts() []string {
	var parts []string
	for _, instance := range c.Instances {
		if len(instance.Source) <= policy.MaxPartNameBytes {
			parts = append(parts, instance.Source)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// Reparse reads and checks another text of the file under the same policy.
func (c *Config) Reparse(text []byte) (*Config, error) { return parse(c.Path, text, c.overlay) }

// WithPolicy returns the configuration with documents of the policy laid over the file. If changes are being prepared, the
// configuration allows only what both the documents and the changed documents allow: a member serves by it while it is
// uncertain which of the two are active.
func (c *Config) WithPolicy(documents []policy.Document, preparing []*policy.Document) (*Config, error) {
	active, err := overlayOf(documents)
	if err != nil {
		return nil, err
	}
	if len(preparing) == 0 {
		return parse(c.Path, c.text, active)
	}
	changed, err := overlayOf(ReplaceDocuments(documents, preparing))
	if err != nil {
		return nil, err
	}
	var own fileTables
	if _, err := tomlfile.Parse(c.Path, c.text, &own); err != nil {
		return nil, err
	}
	both, err := intersect(active.completedBy(&own), changed.completedBy(&own))
	if err != nil {
		return nil, err
	}
	return parse(c.Path, c.text, both)
}

// CheckWithPolicy returns an error if a file's text with documents of the policy laid over it is not a valid configuration.
func CheckWithPolicy(path string, text []byte, documents []policy.Document) error {
	over, err := overlayOf(documents)
	if err != nil {
		return err
	}
	_, err = parse(path, text, over)
	return err
}

// CheckServiceDocument returns an error if a document is not a valid part of a service. It checks what can be checked
// without a daemon that holds the part.
func CheckServiceDocument(d *policy.Document) error {
	_, err := readServicePart(documentName(d), d.Part, d.Body)
	return err
}

// CheckPolicy returns an error if a daemon with the settings file at path could not serve by the texts of a policy. No
// daemon has to run. texts has the texts by part, and names has their names in errors, also by part.
func CheckPolicy(path string, texts, names map[string]string) error {
	cfg, err := Load(path)
	if err != nil {
		return err
	}
	over := &Overlay{tables: map[string]bool{}}
	if text, ok := texts[""]; ok {
		over, err = readPolicy(names[""], []byte(text))
		if err != nil {
			return err
		}
	}
	held := cfg.HeldParts()
	for _, part := range slices.Sorted(maps.Keys(texts)) {
		if part == "" {
			continue
		}
		p, err := readServicePart(names[part], part, []byte(texts[part]))
		if err != nil {
			return err
		}
		if slices.Contains(held, part) {
			over.services = append(over.services, p)
		}
	}
	_, err = parse(cfg.Path, cfg.text, over)
	return err
}
