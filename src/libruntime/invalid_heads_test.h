/// \file
/// Parts of an answer's head that no reader of answers may accept, for the tests of each of them.
#pragma once

#include <string>
#include <vector>

namespace bluebell::runtime::testing {

/// Returns the bytes that are invalid in the name of a field.
inline std::vector<char> invalid_name_bytes()
{
    return {' ', '\t', '\0', '\x07', '\x0b', '\x1b', '\r', '\x7f', '\x80', '\xff', '(', '/', '@'};
}

/// Returns lines of one field each, with names, values or line ends that are invalid. None of them
/// belongs to the framing.
inline std::vector<std::string> invalid_fields()
{
    std::vector<std::string> fields{
        ": no name\r\n",           "no colon\r\n",
        "X: folded\r\n value\r\n", "X: folded\r\n\tvalue\r\n",
        "X: bare line feed\n",     " X: leading blank\r\n",
    };
    for (const char c : {'\0', '\x07', '\x1b', '\r', '\x7f'})
        fields.push_back(std::string("X: a") + c + "b\r\n");
    for (const char c : invalid_name_bytes()) {
        fields.push_back(std::string("Some") + c + "Name: value\r\n");
        fields.push_back(std::string("Name") + c + ": value\r\n");
    }
    return fields;
}

} // namespace bluebell::runtime::testing
