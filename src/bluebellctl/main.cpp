// Entry point of bluebellctl, the operators' command line.

#include "actions.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace bluebell;
    const auto line = ctl::parse(argc, argv);
    if (!line) {
        std::cerr << "bluebellctl: " << line.error().text << "\n";
        return ctl::exit_usage;
    }
    return ctl::run_command(*line);
}
