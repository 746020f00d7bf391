package corpus

import (
	"fmt"
	"math/rand/v2"
)

// competitionFields holds the fields of a competition entry.
type competitionFields struct {
	Title    string `json:"title"`
	Category string `json:"category"`
	Club     string `json:"club"`
	Entrant  string `json:"entrant"`
	Version  string `json:"version"`
}

// studyFields holds the fields of a substance study.
type studyFields struct {
	Substance string `json:"substance"`
	Endpoint  string `json:"endpoint"`
	Dossier   string `json:"dossier"`
	Summary   string `json:"summary"`
	Version   string `json:"version"`
}

var (
	lightConditions = []string{"dawn", "dusk", "noon", "moonlit", "misty", "golden", "stormy", "quiet"}
	subjects        = []string{"owl", "reef", "jetty", "gumtree", "heron", "ferry", "dingo", "lighthouse", "cane", "gecko"}
	categories      = []string{"nature", "portrait", "landscape", "monochrome", "street", "open"}
	clubs           = []string{"Cairns", "Mackay", "Rockhampton", "Toowoomba", "Ipswich", "Noosa", "Bundaberg"}
	entrants        = []string{"A. Nguyen", "B. Walsh", "C. Rossi", "D. Kaur", "E. Murray", "F. Olsen", "G. Tran"}

	substanceStems   = []string{"ethyl", "methyl", "butyl", "phenyl", "propyl", "chloro"}
	substanceEndings = []string{"acetate", "benzoate", "amine", "phthalate", "oxide", "sulfonate"}
	endpoints        = []string{"acute-toxicity", "skin-irritation", "mutagenicity", "biodegradation", "melting-point", "log-kow"}
	species          = []string{"rat", "rabbit", "daphnia", "algae", "trout"}
	findings         = []string{"negative", "positive", "inconclusive", "supporting", "key"}
)

// Words returns words that occur in the title or summary of some records of the
// kind.
func Words(kind Kind) []string {
	if kind == Substance {
		return species
	}
	return subjects
}

// Categories returns the categories (Competition) or endpoints (Substance) of the
// kind.
func Categories(kind Kind) []string {
	if kind == Substance {
		return endpoints
	}
	return categories
}

func describe(kind Kind, rng *rand.Rand, version string) Entry {
	if kind == Substance {
		return describeStudy(rng, version)
	}
	return describeCompetition(rng, version)
}

func describeCompetition(rng *rand.Rand, version string) Entry {
	words := []string{pick(rng, lightConditions), pick(rng, subjects)}
	f := competitionFields{
		Title:    words[0] + " " + words[1],
		Category: pick(rng, categories),
		Club:     pick(rng, clubs) + " Camera Club",
		Entrant:  pick(rng, entrants),
		Version:  version,
	}
	e := Entry{Words: words, Category: f.Category}
	e.Record.Fields = mustMarshal(f)
	return e
}

func describeStudy(rng *rand.Rand, version string) Entry {
	words := []string{pick(rng, findings), "study", "in", pick(rng, species)}
	f := studyFields{
		Substance: pick(rng, substanceStems) + " " + pick(rng, substanceEndings),
		Endpoint:  pick(rng, endpoints),
		Dossier:   fmt.Sprintf("D-%04d", rng.IntN(400)),
		Summary:   words[0] + " study in " + words[3],
		Version:   version,
	}
	e := Entry{Words: words, Category: f.Endpoint}
	e.Record.Fields = mustMarshal(f)
	return e
}

func pick(rng *rand.Rand, from []string) string { return from[rng.IntN(len(from))] }
