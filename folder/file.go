package folder

// File is one file of the folder.
type File struct {
	Name string
	Data []byte
}
