// Runs the fuzz target on every file of the stored corpus, so that inputs found by fuzzing are
// tested in every build without libFuzzer.

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: replay FOLDER\n";
        return 2;
    }
    int files = 0;
    for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
        std::ifstream in(entry.path(), std::ios::binary);
        const std::string data((std::istreambuf_iterator<char>(in)),
                               std::istreambuf_iterator<char>());
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(data.data()), data.size());
        files += 1;
    }
    std::cout << "replayed " << files << " files\n";
    return files > 0 ? 0 : 1;
}
