// later
