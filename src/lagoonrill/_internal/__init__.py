"""Private parts of lagoonrill; the public modules re-export what is stable."""
